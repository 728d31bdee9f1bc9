package demo

import (
	"context"
	"fmt"
	"time"

	"gypsumbeam.example/gypsumbeam/internal/fleet"
	"gypsumbeam.example/gypsumbeam/pkg/editor"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// The times of the plan's steps, as shares of the run's duration.
const (
	operatorDrainAt = 0.12
	peakAt          = 0.22
	targetDrainAt   = 0.28
	noisyFromAt     = 0.30
	killAt          = 0.42
	revokeAt        = 0.50
	stopAt          = 0.55
	noisyEndAt      = 0.65
	ordinaryAt      = 0.75
)

// plan holds the steps of the run and the time of the noisy workspace's load. Times
// are relative to the start of the load.
type plan struct {
	noisyFrom, noisyUntil time.Duration
	steps                 []step
}

// step is an operator's change, a target's drain, or the end of a host.
type step struct {
	at   time.Duration
	name string
	do   func(ctx context.Context)
}

// newPlan returns the plan of the run.
func (d *Demo) newPlan() plan {
	at := func(part float64) time.Duration { return time.Duration(part * float64(d.cfg.Duration)) }
	revoked := d.document.Workspaces[len(d.document.Workspaces)-1].Name
	drained := d.document.Services[0].Upstreams[0].Name
	leaving := d.document.Services[1].Upstreams[1].Name
	nodes := d.fleet.Nodes()
	killed, stopped := nodes[1], nodes[len(nodes)-1]
	return plan{
		noisyFrom:  at(noisyFromAt),
		noisyUntil: at(noisyEndAt),
		steps: []step{
			{at(operatorDrainAt), fmt.Sprintf("the operator drains target %s", drained), func(ctx context.Context) {
				d.apply(ctx, changeDrain, string(drained), func(e *editor.Editor) error { return e.Drain(string(drained)) })
			}},
			{at(peakAt), "the operator puts preset peak in force", func(ctx context.Context) { d.usePreset(ctx, "peak") }},
			{at(targetDrainAt), fmt.Sprintf("target %s says that it leaves", leaving), func(context.Context) { d.drainTarget(leaving) }},
			{at(killAt), "entry host " + killed.IP() + " dies", func(context.Context) { d.killHost(killed) }},
			{at(revokeAt), fmt.Sprintf("the operator withdraws the key of %s", revoked), func(ctx context.Context) { d.revokeKey(ctx, revoked) }},
			{at(stopAt), "entry host " + stopped.IP() + " stops gracefully", func(ctx context.Context) { d.stopHost(ctx, stopped) }},
			{at(ordinaryAt), "the operator puts preset ordinary in force", func(ctx context.Context) { d.usePreset(ctx, "ordinary") }},
		},
	}
}

// runPlan starts each step at its time, and returns once the last has started or ctx
// ends. Steps may overlap, but operators' changes are applied one after the other.
func (d *Demo) runPlan(ctx context.Context, loadStart time.Time) {
	for _, s := range d.plan.steps {
		select {
		case <-time.After(time.Until(loadStart.Add(s.at))):
		case <-ctx.Done():
			return
		}
		d.progressf("%s", s.name)
		d.stepsRunning.Go(func() { s.do(ctx) })
	}
}

// changeTimeout is the time limit of a change, including the wait for all hosts.
const changeTimeout = 30 * time.Second

// apply edits the newest document, applies it based on its revision and records the
// change.
func (d *Demo) apply(ctx context.Context, kind changeKind, name string, edit func(e *editor.Editor) error) {
	d.operatorLock <- struct{}{}
	defer func() { <-d.operatorLock }()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), changeTimeout)
	defer cancel()
	ch := change{kind: kind, name: name, sentAt: time.Now()}
	rev, err := d.editDocument(ctx, edit)
	if err != nil {
		ch.err = err.Error()
		d.progressf("%s %s failed: %v", kind, name, err)
	} else {
		ch.acceptedAt = time.Now()
		ch.revision = rev
		d.progressf("%s %s is accepted as revision %d after %v", kind, name, rev, ch.acceptedAt.Sub(ch.sentAt).Round(time.Millisecond))
	}
	d.recorder.addChange(ch)
}

func (d *Demo) editDocument(ctx context.Context, edit func(e *editor.Editor) error) (ids.Revision, error) {
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

// revokeKey removes a workspace's key while connections that used it are open to every
// host, and keeps using the key on them until the end of the load.
func (d *Demo) revokeKey(ctx context.Context, ws ids.Workspace) {
	probes := d.newKeyProbes(ws)
	probes.send(ctx)
	defer d.stepsRunning.Go(func() { probes.run(ctx, d.recorder.records.loadStart.Add(d.cfg.Duration)) })
	d.apply(ctx, changeRevokeKey, string(ws), func(e *editor.Editor) error {
		return e.RemoveKey(ids.KeyID("key-" + string(ws)))
	})
}

// drainTarget makes a target report that it is leaving.
func (d *Demo) drainTarget(t ids.Target) {
	now := time.Now()
	d.fleet.Targets[t].Drain()
	d.recorder.addChange(change{kind: changeLeave, name: string(t), sentAt: now, acceptedAt: now})
}

func (d *Demo) killHost(n *fleet.Node) {
	e := hostEnd{host: n.Config.CallersAddress, startedAt: time.Now()}
	d.fleet.KillNode(n)
	e.endedAt = time.Now()
	d.recorder.addHostEnd(e)
}

func (d *Demo) stopHost(ctx context.Context, n *fleet.Node) {
	e := hostEnd{host: n.Config.CallersAddress, graceful: true, startedAt: time.Now()}
	if err := d.fleet.StopNode(context.WithoutCancel(ctx), n); err != nil {
		e.err = err.Error()
	}
	e.endedAt = time.Now()
	d.recorder.addHostEnd(e)
	d.progressf("entry host %s has stopped after %v", n.IP(), e.endedAt.Sub(e.startedAt).Round(time.Millisecond))
}
