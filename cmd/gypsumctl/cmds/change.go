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

// Lengths of generated workspace keys and key ids: the random bytes before
// hexadecimal encoding, and the bytes of the workspace's name in an id.
const (
	keyBytes       = 32
	keyIDBytes     = 4
	maxKeyIDPrefix = 54
)

// change edits the newest document and applies it on top of its revision. If another
// operator has changed the document in the meantime, this is a conflict and nothing
// is changed.
func (s *invocation) change(ctx context.Context, edit func(e *editor.Editor) error) (operators.ApplyResult, error) {
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

// changeAndReport changes the document and prints where the change is in force.
func (s *invocation) changeAndReport(ctx context.Context, edit func(e *editor.Editor) error) error {
	applied, err := s.change(ctx, edit)
	if err != nil {
		return err
	}
	return s.reportApplied(applied)
}

func (s *invocation) presetUse(ctx context.Context) error {
	return s.changeAndReport(ctx, func(e *editor.Editor) error { return e.SetPreset(s.args.Preset.Use.Name) })
}

func (s *invocation) keyWithdraw(ctx context.Context) error {
	return s.changeAndReport(ctx, func(e *editor.Editor) error { return e.RemoveKey(s.args.Key.Withdraw.ID) })
}

func (s *invocation) drain(ctx context.Context) error {
	return s.changeAndReport(ctx, func(e *editor.Editor) error { return e.Drain(s.args.Drain.Name) })
}

func (s *invocation) undrain(ctx context.Context) error {
	return s.changeAndReport(ctx, func(e *editor.Editor) error { return e.Undrain(s.args.Undrain.Name) })
}

// givenKey is the JSON output of "key give". No other output contains a key.
type givenKey struct {
	Workspace ids.Workspace `json:"workspace"`
	ID        ids.KeyID     `json:"id"`
	Key       string        `json:"key"`
	operators.ApplyResult
}

// keyGive generates a key, stores its hash, and prints the key. If it is unknown
// whether the hash was stored, keyGive does not print the key, so nobody can use it.
func (s *invocation) keyGive(ctx context.Context) error {
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
		return notInForceError(applied)
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
	return notInForceError(applied)
}

// newKeyID returns a random id for a key of ws, which starts with the workspace's
// name.
func newKeyID(ws ids.Workspace) ids.KeyID {
	prefix := string(ws)
	prefix = prefix[:min(len(prefix), maxKeyIDPrefix)]
	return ids.KeyID(prefix + "-" + ids.NewToken(keyIDBytes))
}

func (s *invocation) seatAbandon(ctx context.Context) error {
	instance := s.args.Seat.Abandon.Instance
	if err := s.client.Abandon(ctx, instance); err != nil {
		return err
	}
	if s.args.Output == formatJSON {
		return s.printJSON(operators.AbandonResult{Instance: instance})
	}
	printLine(s.stdout, "the seats of ", instance, " are free")
	return nil
}
