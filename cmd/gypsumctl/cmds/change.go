package cmds

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/editor"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/service/operators"
)

// The lengths of workspace keys and of the ids made for them.
const (
	keyBytes       = 32
	keyIDBytes     = 4
	maxKeyIDPrefix = 54
)

// change edits the newest document and applies it against its revision. When
// another operator was faster this is a conflict, and nothing is changed.
func (s *subcommand) change(ctx context.Context, edit func(e *editor.Editor) error) (operators.ApplyResult, error) {
	d, err := s.client.Document(ctx)
	if err != nil {
		return operators.ApplyResult{}, err
	}
	e, err := editor.New(d.Text)
	if err != nil {
		return operators.ApplyResult{}, err
	}
	if err := edit(e); err != nil {
		return operators.ApplyResult{}, err
	}
	return s.client.Apply(ctx, e.Text(), d.Revision)
}

// changeAndTell changes the document and tells where it is in force.
func (s *subcommand) changeAndTell(ctx context.Context, edit func(e *editor.Editor) error) error {
	applied, err := s.change(ctx, edit)
	if err != nil {
		return err
	}
	return s.tellApplied(applied)
}

func (s *subcommand) presetUse(ctx context.Context) error {
	return s.changeAndTell(ctx, func(e *editor.Editor) error { return e.SetPreset(s.args.Preset.Use.Name) })
}

func (s *subcommand) keyWithdraw(ctx context.Context) error {
	return s.changeAndTell(ctx, func(e *editor.Editor) error { return e.RemoveKey(s.args.Key.Withdraw.ID) })
}

func (s *subcommand) drain(ctx context.Context) error {
	return s.changeAndTell(ctx, func(e *editor.Editor) error { return e.Drain(s.args.Drain.Name) })
}

func (s *subcommand) undrain(ctx context.Context) error {
	return s.changeAndTell(ctx, func(e *editor.Editor) error { return e.Undrain(s.args.Undrain.Name) })
}

// givenKey is the answer of key give. It is the only place that shows a key.
type givenKey struct {
	Workspace ids.Workspace `json:"workspace"`
	ID        ids.KeyID     `json:"id"`
	Key       string        `json:"key"`
	operators.ApplyResult
}

// keyGive makes a key, stores its hash, and prints the key once it is stored.
// A key whose storing is not certain is not printed: nobody can use it.
func (s *subcommand) keyGive(ctx context.Context) error {
	ws := s.args.Key.Give.Workspace
	key := ids.NewToken(keyBytes)
	sum := sha256.Sum256([]byte(key))
	id := newKeyID(ws)
	applied, err := s.change(ctx, func(e *editor.Editor) error {
		return e.AddKey(ws, config.Key{ID: id, SHA256: hex.EncodeToString(sum[:])})
	})
	if err != nil {
		if exitCode(err) == ExitUnresolved {
			return fmt.Errorf("key %s may be in force, but was not given out; withdraw it: %w", id, err)
		}
		return err
	}
	if s.args.Output == formatJSON {
		if err := s.printJSON(givenKey{ws, id, key, applied}); err != nil {
			return err
		}
		return notYet(applied)
	}
	if _, err := fmt.Fprintln(s.stdout, key); err != nil {
		return fmt.Errorf("key %s is stored, but could not be printed; withdraw it: %w", id, err)
	}
	if _, err := fmt.Fprintf(s.stderr, "key %s of workspace %s; it is not shown again\n", id, ws); err != nil {
		return err
	}
	if applied.Accepted {
		_, err = fmt.Fprintln(s.stderr, applied)
		return err
	}
	return notYet(applied)
}

// newKeyID returns a name for a key of ws.
func newKeyID(ws ids.Workspace) ids.KeyID {
	prefix := string(ws)
	prefix = prefix[:min(len(prefix), maxKeyIDPrefix)]
	return ids.KeyID(prefix + "-" + ids.NewToken(keyIDBytes))
}

func (s *subcommand) seatAbandon(ctx context.Context) error {
	silent := s.args.Seat.Abandon.Instance
	if err := s.client.Abandon(ctx, silent); err != nil {
		return err
	}
	if s.args.Output == formatJSON {
		return s.printJSON(operators.AbandonResult{Instance: silent})
	}
	say(s.stdout, "the seats of ", silent, " are free")
	return nil
}
