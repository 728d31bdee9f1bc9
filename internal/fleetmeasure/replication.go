package fleetmeasure

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"gypsumbeam.example/gypsumbeam/internal/fleet"
	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/refusal"
)

// unreplicatedSuffix is the suffix of the second service, whose outcomes are not
// replicated.
const unreplicatedSuffix = "-alone"

// Replication measures how many repeated payments get their recorded response after
// the owner of their key has died, with and without replicas of outcomes. A copy of
// the service without replication gets the same load in the same run.
type Replication struct {
	Deployment *Deployment
	// Crashes is the number of hosts that die, one after the other.
	Crashes int
	// Rate is the number of payments per second of each service.
	Rate float64
	// AckTimeout is how long a payment waits for the acknowledgement of its replica.
	AckTimeout time.Duration
	// BaselineTime is the time before the first crash in which latencies are measured.
	BaselineTime time.Duration
	Random       *rand.Rand

	fleet      *fleet.Fleet
	executions Executions
	samples    Samples
}

// ReplicationRow is the result for one service.
type ReplicationRow struct {
	Service ids.Service
	// Completed counts payments whose response had arrived before their owner's death
	// and that were repeated after it, and CompletedReplayed those whose repetition got
	// the recorded response.
	Completed, CompletedReplayed int
	// InFlight counts payments without a response at their owner's death,
	// InFlightReplayed those whose repetition got the recorded response, and
	// InFlightUnknown those whose repetition had an unknown outcome.
	InFlight, InFlightReplayed, InFlightUnknown int
	// AddedP50 and AddedP99 are percentiles of the latency minus the time at the target.
	AddedP50, AddedP99 time.Duration
	// RanTwice counts keys that ran more than once. The first row has those of all
	// services.
	RanTwice int
}

// ReplicationResult is the result of one run.
type ReplicationResult struct {
	Rows []ReplicationRow
	// Sent and Lost count replicas; MeanBytes is their mean size in bytes.
	Sent, Lost, MeanBytes int64
}

// Document returns the deployment's document with the unreplicated copy of the
// service added.
func (m *Replication) Document() (*config.Document, error) {
	doc, err := m.Deployment.Document()
	if err != nil {
		return nil, err
	}
	var unreplicated config.Service
	for _, s := range doc.Services {
		if s.Name == m.Deployment.OnceService {
			unreplicated = s
		}
	}
	unreplicated.Name += unreplicatedSuffix
	unreplicated.NoCopies = true
	unreplicated.Upstreams = slices.Clone(unreplicated.Upstreams)
	for i := range unreplicated.Upstreams {
		unreplicated.Upstreams[i].Name += unreplicatedSuffix
	}
	doc.Services = append(doc.Services, unreplicated)
	return doc, nil
}

// Run runs the measurement. It must be called in a synctest bubble, once.
func (m *Replication) Run(ctx context.Context) (*ReplicationResult, error) {
	doc, err := m.Document()
	if err != nil {
		return nil, err
	}
	if m.fleet, err = m.Deployment.NewFleet(doc, &m.executions); err != nil {
		return nil, err
	}
	defer m.fleet.Stop()
	for _, n := range m.fleet.Nodes() {
		n.Config.ReplicaAckTimeout = m.AckTimeout
	}
	if err := m.fleet.Start(ctx); err != nil {
		return nil, err
	}
	time.Sleep(5 * time.Second)
	loadStart := time.Now()
	services := []ids.Service{m.Deployment.OnceService, m.Deployment.OnceService + unreplicatedSuffix}
	loadCtx, endLoad := context.WithCancel(ctx)
	var load sync.WaitGroup
	for _, svc := range services {
		for i, r := range doc.Regions {
			c := m.caller(svc, r.Name)
			c.Workspace = doc.Workspaces[i].Name
			load.Go(func() { c.Run(loadCtx) })
		}
	}
	time.Sleep(m.BaselineTime)
	result := &ReplicationResult{Rows: []ReplicationRow{{Service: services[0]}, {Service: services[1]}}}
	for i := range m.Crashes {
		time.Sleep(5 * time.Second)
		if err := m.crash(result, i < m.Crashes-1); err != nil {
			endLoad()
			load.Wait()
			return nil, err
		}
	}
	endLoad()
	load.Wait()
	m.complete(result, loadStart.Add(m.BaselineTime))
	return result, nil
}

func (m *Replication) caller(svc ids.Service, r ids.Region) *Caller {
	return &Caller{
		Fleet: m.fleet, Samples: &m.samples, Name: string(svc), Service: svc, Method: http.MethodPost,
		Path: m.Deployment.OncePath, Region: r, Rate: m.Rate / float64(len(m.Deployment.HostsPerRegion)),
		AtMostOnce: true, Timeout: 5 * time.Second, Random: rand.New(rand.NewPCG(m.Random.Uint64(), 1)),
	}
}

// crash kills a random host, repeats its payments at other hosts, and starts it again
// if restart is set.
func (m *Replication) crash(result *ReplicationResult, restart bool) error {
	nodes := m.fleet.Nodes()
	node := nodes[m.Random.IntN(len(nodes))]
	address := node.Config.CallersAddress
	died := time.Now()
	m.addStats(result, node)
	m.fleet.KillNode(node)
	time.Sleep(5 * time.Second)
	for i := range result.Rows {
		m.resendPayments(&result.Rows[i], address, died)
	}
	if !restart {
		return nil
	}
	if err := m.fleet.StartNode(node); err != nil {
		return err
	}
	time.Sleep(15 * time.Second)
	return nil
}

// addStats adds a host's replication statistics.
func (m *Replication) addStats(result *ReplicationResult, n *fleet.Node) {
	s := n.Host.ReplicationStats()
	result.Sent += s.Sent
	result.Lost += s.Lost
	result.MeanBytes += s.SentBytes
}

// resendPayments repeats the payments of a dead host's last ten seconds.
func (m *Replication) resendPayments(row *ReplicationRow, address string, died time.Time) {
	candidates := m.samples.Filter(func(s *Sample) bool {
		recent := died.Sub(s.Sent) < 10*time.Second && s.Sent.Before(died)
		return s.Service == row.Service && s.Host == address && recent && !s.Replayed
	})
	nodes := m.fleet.Nodes()
	for _, s := range candidates {
		completed := s.Outcome == refusal.Ran
		if !completed && s.Status != 0 {
			continue // it was refused
		}
		c := m.caller(row.Service, s.Region)
		c.Workspace = s.Workspace
		repeat := s
		for repeat.Host == address {
			repeat.Host = nodes[m.Random.IntN(len(nodes))].Config.CallersAddress
		}
		repeat = c.Send(repeat)
		c.transport.CloseIdleConnections()
		replayed := repeat.Outcome == refusal.Ran && repeat.Replayed
		switch {
		case completed:
			row.Completed++
			if replayed {
				row.CompletedReplayed++
			}
		default:
			row.InFlight++
			if replayed {
				row.InFlightReplayed++
			} else if repeat.Outcome == refusal.Unknown {
				row.InFlightUnknown++
			}
		}
	}
}

// complete sets the totals at the end of the run, and the latencies before
// baselineEnd.
func (m *Replication) complete(result *ReplicationResult, baselineEnd time.Time) {
	for _, n := range m.fleet.Nodes() {
		if m.fleet.Running(n) {
			m.addStats(result, n) // those of dead hosts were added when they died
		}
	}
	result.MeanBytes /= max(result.Sent+result.Lost, 1)
	for i := range result.Rows {
		row := &result.Rows[i]
		row.AddedP50, row.AddedP99 = addedLatency(&m.executions, m.samples.Filter(func(s *Sample) bool {
			return s.Service == row.Service && s.Sent.Before(baselineEnd)
		}))
	}
	for _, t := range m.fleet.Targets {
		for _, n := range t.Stats().RunsByKey {
			if n > 1 {
				result.Rows[0].RanTwice++
			}
		}
	}
}

// addedLatency returns percentiles of the latency minus the time at the target, of
// requests that ran.
func addedLatency(executions *Executions, all []Sample) (p50, p99 time.Duration) {
	var times []time.Duration
	for _, s := range all {
		if e, ok := executions.ByID(s.ID); ok && s.Status == http.StatusOK && !s.Replayed {
			times = append(times, s.Elapsed-e.Ended.Sub(e.Arrived))
		}
	}
	return percentile(times, 50), percentile(times, 99)
}

// percentile sorts the times and returns their p-th percentile, or zero without times.
func percentile(times []time.Duration, p int) time.Duration {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[min(len(times)*p/100, len(times)-1)]
}
