package slopes

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"github.com/zeebo/errs"

	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/steerer"
	"gypsumbeam.example/gypsumbeam/service/peers/peerpb"
)

// The metrics and parameters of the series steering, which computes look-up answers
// in memory.
const (
	tableLookupNs     = "ns/look-up"
	tableAnswerBytes  = "answer B"
	encodeMicros      = "encode us"
	stepMs            = "step ms"
	tableKB           = "answers KB"
	steeringLookups   = 200_000
	steeringEncodings = 50
	steeringSteps     = 5
)

func steeringMetrics() []string {
	return []string{tableLookupNs, tableAnswerBytes, encodeMicros, stepMs, tableKB}
}

// measureSteering measures a steerer.Steerer that knows x hosts, without a fleet.
func measureSteering(_ context.Context, _ Config, x int) (map[string]float64, error) {
	s := baseSize()
	s.hosts = x
	initialHeap := heapInUse()
	doc := s.document()
	snap := config.NewSnapshot(1, doc)
	states := s.hostStates(doc)
	st := steerer.New(steerer.Config{Region: regionName(0), Hosts: func() []*peerpb.HostState { return states }})
	statesHeap := heapInUse()
	st.Configure(snap)
	configuredHeap := heapInUse()
	began := time.Now()
	for range steeringSteps {
		st.Step()
	}
	stepTime := time.Since(began) / steeringSteps
	answer, err := st.Lookup(serviceName(0), regionName(0), "")
	if err != nil {
		return nil, err
	}
	body, err := json.Marshal(answer)
	if err != nil {
		return nil, errs.New("encode the answer: %v", err)
	}
	began = time.Now()
	for range steeringEncodings {
		if _, err := json.Marshal(answer); err != nil {
			return nil, errs.New("encode the answer: %v", err)
		}
	}
	encodeTime := time.Since(began) / steeringEncodings
	began = time.Now()
	for range steeringLookups {
		if _, err := st.Lookup(serviceName(0), regionName(0), ""); err != nil {
			return nil, err
		}
	}
	lookupTime := time.Since(began)
	runtime.KeepAlive(states)
	return map[string]float64{
		tableLookupNs:    float64(lookupTime.Nanoseconds()) / steeringLookups,
		tableAnswerBytes: float64(len(body)),
		encodeMicros:     float64(encodeTime.Nanoseconds()) / 1e3,
		stepMs:           float64(stepTime.Nanoseconds()) / 1e6,
		tableKB:          (float64(configuredHeap) - float64(min(initialHeap, statesHeap, configuredHeap))) / 1024,
	}, nil
}

// hostStates returns the states of a fleet's hosts, all of them ready.
func (s fleetSize) hostStates(doc *config.Document) []*peerpb.HostState {
	var all []*peerpb.HostState
	for i := range s.hosts {
		r := regionName(i % regionCount)
		h := &peerpb.HostState{
			Instance:          fmt.Sprintf("%016x", i),
			CallersAddress:    fmt.Sprintf("10.%d.%d.%d:8080", i%regionCount, i>>8, i&0xff),
			PeersAddress:      fmt.Sprintf("10.%d.%d.%d:9090", i%regionCount, i>>8, i&0xff),
			Region:            string(r),
			Zone:              string(r) + "-a",
			Ready:             true,
			IdempotencyPrefix: fmt.Sprintf("%016x-%016x", i, i),
		}
		for _, svc := range doc.Services {
			h.Services = append(h.Services, &peerpb.ServiceReport{Service: string(svc.Name), Slots: slotsPerTarget, InFlight: uint32(i % slotsPerTarget)})
		}
		all = append(all, h)
	}
	return all
}
