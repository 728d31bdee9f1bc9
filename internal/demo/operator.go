package demo

import (
	"context"
	"fmt"
	"time"

	"gypsumbeam.example/gypsumbeam/internal/fleet"
	"gypsumbeam.example/gypsumbeam/pkg/editor"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// The moments of the run, as parts of its length.
const (
	drainAt     = 0.12
	peakAt      = 0.22
	leaveAt     = 0.28
	noisyFromAt = 0.30
	killAt      = 0.42
	withdrawAt  = 0.50
	stopAt      = 0.55
	noisyEndAt  = 0.65
	ordinaryAt  = 0.75
)

// plan holds when things happen, counted from the beginning of the load.
type plan struct {
	noisyFrom, noisyUntil time.Duration
	steps                 []step
}

// step is one thing that happens during the run.
type step struct {
	at   time.Duration
	name string
	do   func(ctx context.Context)
}

// newPlan lays the events over the run.
func (d *Demo) newPlan() plan {
	at := func(part float64) time.Duration { return time.Duration(part * float64(d.cfg.Duration)) }
	withdrawn := d.document.Workspaces[len(d.document.Workspaces)-1].Name
	drained := d.document.Services[0].Upstreams[0].Name
	leaving := d.document.Services[1].Upstreams[1].Name
	nodes := d.fleet.Nodes()
	killed, stopped := nodes[1], nodes[len(nodes)-1]
	return plan{
		noisyFrom:  at(noisyFromAt),
		noisyUntil: at(noisyEndAt),
		steps: []step{
			{at(drainAt), fmt.Sprintf("the operator drains target %s", drained), func(ctx context.Context) {
				d.apply(ctx, changeDrain, string(drained), func(e *editor.Editor) error { return e.Drain(string(drained)) })
			}},
			{at(peakAt), "the operator puts preset peak in force", func(ctx context.Context) { d.usePreset(ctx, "peak") }},
			{at(leaveAt), fmt.Sprintf("target %s says that it leaves", leaving), func(context.Context) { d.leave(leaving) }},
			{at(killAt), "entry host " + killed.IP() + " dies", func(context.Context) { d.kill(killed) }},
			{at(withdrawAt), fmt.Sprintf("the operator withdraws the key of %s", withdrawn), func(ctx context.Context) { d.withdraw(ctx, withdrawn) }},
			{at(stopAt), "entry host " + stopped.IP() + " stops gracefully", func(ctx context.Context) { d.stop(ctx, stopped) }},
			{at(ordinaryAt), "the operator puts preset ordinary in force", func(ctx context.Context) { d.usePreset(ctx, "ordinary") }},
		},
	}
}

// runPlan does each step at its time, and returns when all have ended. Only
// operators' changes wait for each other.
func (d *Demo) runPlan(ctx context.Context, began time.Time) {
	for _, s := range d.plan.steps {
		select {
		case <-time.After(time.Until(began.Add(s.at))):
		case <-ctx.Done():
			return
		}
		d.progress("%s", s.name)
		d.running.Go(func() { s.do(ctx) })
	}
}

// changeTimeout bounds one change with its wait for all hosts.
const changeTimeout = 30 * time.Second

// apply edits the newest document and applies it against its revision.
func (d *Demo) apply(ctx context.Context, kind changeKind, name string, edit func(e *editor.Editor) error) {
	d.operating <- struct{}{}
	defer func() { <-d.operating }()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), changeTimeout)
	defer cancel()
	one := change{kind: kind, name: name, sentAt: time.Now()}
	rev, err := d.change(ctx, edit)
	if err != nil {
		one.err = err.Error()
		d.progress("%s %s failed: %v", kind, name, err)
	} else {
		one.acceptedAt = time.Now()
		one.revision = rev
		d.progress("%s %s is accepted as revision %d after %v", kind, name, rev, one.acceptedAt.Sub(one.sentAt).Round(time.Millisecond))
	}
	d.recorder.change(one)
}

func (d *Demo) change(ctx context.Context, edit func(e *editor.Editor) error) (ids.Revision, error) {
	doc, err := d.operators.Document(ctx)
	if err != nil {
		return 0, err
	}
	e, err := editor.New(doc.Text)
	if err != nil {
		return 0, err
	}
	if err := edit(e); err != nil {
		return 0, err
	}
	applied, err := d.operators.Apply(ctx, e.Text(), doc.Revision)
	if err != nil {
		return 0, err
	}
	if !applied.Accepted {
		return 0, fmt.Errorf("revision %d is stored, and not yet in force on %v", applied.Revision, applied.Unconfirmed)
	}
	return applied.Revision, nil
}

func (d *Demo) usePreset(ctx context.Context, name ids.Preset) {
	d.apply(ctx, changePreset, string(name), func(e *editor.Editor) error { return e.SetPreset(name) })
}

// withdraw withdraws a workspace's key, while connections with it are open to
// every host, and goes on to use it there.
func (d *Demo) withdraw(ctx context.Context, ws ids.Workspace) {
	probes := d.newProbes(ws)
	probes.send(ctx)
	defer d.running.Go(func() { probes.run(ctx, d.recorder.r.began.Add(d.cfg.Duration)) })
	d.apply(ctx, changeWithdraw, string(ws), func(e *editor.Editor) error {
		return e.RemoveKey(ids.KeyID("key-" + string(ws)))
	})
}

// leave makes a target say that it leaves.
func (d *Demo) leave(t ids.Target) {
	now := time.Now()
	d.fleet.Targets[t].Drain()
	d.recorder.change(change{kind: changeLeave, name: string(t), sentAt: now, acceptedAt: now})
}

func (d *Demo) kill(n *fleet.Node) {
	e := hostEnd{host: n.Config.CallersAddress, begunAt: time.Now()}
	d.fleet.KillNode(n)
	e.doneAt = time.Now()
	d.recorder.end(e)
}

func (d *Demo) stop(ctx context.Context, n *fleet.Node) {
	e := hostEnd{host: n.Config.CallersAddress, graceful: true, begunAt: time.Now()}
	if err := d.fleet.StopNode(context.WithoutCancel(ctx), n); err != nil {
		e.err = err.Error()
	}
	e.doneAt = time.Now()
	d.recorder.end(e)
	d.progress("entry host %s has stopped after %v", n.IP(), e.doneAt.Sub(e.begunAt).Round(time.Millisecond))
}
