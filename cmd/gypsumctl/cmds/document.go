package cmds

import (
	"context"
	"errors"
	"fmt"

	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/differ"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/parser"
	"gypsumbeam.example/gypsumbeam/service/operators"
)

func (s *invocation) check(file string) error {
	_, doc, err := s.parse(file)
	if err != nil {
		return err
	}
	if s.args.Output == formatJSON {
		return s.printJSON(struct {
			Fleet string `json:"fleet"`
			OK    bool   `json:"ok"`
		}{doc.Fleet, true})
	}
	_, err = fmt.Fprintf(s.stdout, "%s: no fault\n", file)
	return err
}

// diff prints the differences between the newest stored document and the one in the
// file.
func (s *invocation) diff(ctx context.Context) error {
	_, after, err := s.parse(s.args.Diff.File)
	if err != nil {
		return err
	}
	revision, before, err := s.stored(ctx)
	if err != nil {
		return err
	}
	changes, err := differ.Diff(before, after)
	if err != nil {
		return err
	}
	if s.args.Output == formatJSON {
		return s.printJSON(struct {
			Revision ids.Revision    `json:"revision"`
			Changes  []differ.Change `json:"changes"`
		}{revision, append([]differ.Change{}, changes...)})
	}
	if _, err := fmt.Fprintf(s.stdout, "against revision %d: %d changes\n", revision, len(changes)); err != nil {
		return err
	}
	for _, c := range changes {
		if _, err := fmt.Fprintln(s.stdout, c); err != nil {
			return err
		}
	}
	return nil
}

// stored returns the newest stored document and its revision; nil and 0 if there is
// none yet.
func (s *invocation) stored(ctx context.Context) (ids.Revision, *config.Document, error) {
	d, err := s.client.Document(ctx)
	var p *operators.Problem
	if errors.As(err, &p) && p.Code == operators.CodeNoConfiguration {
		return 0, nil, nil
	}
	if err != nil {
		return 0, nil, err
	}
	doc, err := parser.Parse(d.Text)
	return d.Revision, doc, err
}

func (s *invocation) apply(ctx context.Context) error {
	text, _, err := s.parse(s.args.Apply.File)
	if err != nil {
		return err
	}
	applied, err := s.client.Apply(ctx, text, s.args.Apply.Base)
	if err != nil {
		return err
	}
	return s.reportApplied(applied)
}

// reportApplied prints where a stored revision is in force. Its error is an
// *errNotInForce if the revision is not accepted yet.
func (s *invocation) reportApplied(applied operators.ApplyResult) error {
	if err := s.printApplied(applied); err != nil {
		return err
	}
	return notInForceError(applied)
}

func (s *invocation) printApplied(applied operators.ApplyResult) error {
	if s.args.Output == formatJSON {
		return s.printJSON(applied)
	}
	if !applied.Accepted {
		return nil // the *errNotInForce that follows says so
	}
	_, err := fmt.Fprintln(s.stdout, applied)
	return err
}

func notInForceError(applied operators.ApplyResult) error {
	if applied.Accepted {
		return nil
	}
	return &errNotInForce{applied}
}

// get prints the newest document. It prints the revision to standard error, so that
// standard output can be redirected to a file.
func (s *invocation) get(ctx context.Context) error {
	d, err := s.client.Document(ctx)
	if err != nil {
		return err
	}
	if s.args.Output == formatJSON {
		return s.printJSON(struct {
			Revision ids.Revision `json:"revision"`
			Document string       `json:"document"`
		}{d.Revision, string(d.Text)})
	}
	if _, err := s.stdout.Write(d.Text); err != nil {
		return err
	}
	_, err = fmt.Fprintf(s.stderr, "revision %d\n", d.Revision)
	return err
}
