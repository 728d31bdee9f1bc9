package meter_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/meter"
	"gypsumbeam.example/gypsumbeam/pkg/refusal"
	"gypsumbeam.example/gypsumbeam/service/callers"
)

func configured() *meter.Meter {
	m := meter.New()
	m.Configure(config.NewSnapshot(1, &config.Document{
		Regions:    []config.Region{{Name: "east"}},
		Services:   []config.Service{{Name: "shop"}},
		Workspaces: []config.Workspace{{Name: "oak"}, {Name: "elm"}},
	}))
	return m
}

func answered(ws ids.Workspace) callers.Record {
	return callers.Record{
		Service: "shop", Workspace: ws, Region: "east", Outcome: refusal.Ran, Status: 200,
		Elapsed: 3 * time.Millisecond, TargetLatency: 2 * time.Millisecond, Waited: time.Millisecond,
	}
}

func TestReportsOfSeveralHostsAddUp(t *testing.T) {
	is := is.New(t)
	a, b := configured(), configured()
	a.Record(answered("oak"))
	b.Record(answered("oak"))
	b.Record(answered("elm"))
	refused := callers.Record{Service: "shop", Workspace: "oak", Outcome: refusal.NotRun, Code: refusal.CodeRateExceeded}
	b.Record(refused)
	sum := a.Report().Add(b.Report())
	is.Equal(sum.Rows, []meter.Row{
		{Workspace: "elm", Service: "shop", Region: "east", Outcome: "ran", Count: 1},
		{Workspace: "oak", Service: "shop", Region: meter.None, Outcome: "notRun", Code: "rateExceeded", Count: 1},
		{Workspace: "oak", Service: "shop", Region: "east", Outcome: "ran", Count: 2},
	})
	is.Equal(sum.Workspaces[1].Name, "oak")
	is.Equal(sum.Workspaces[1].Latency.Count, int64(2)) // refused requests have no latency
	is.Equal(sum.Services[0].TargetLatency.PercentileUs(0.5), int64(2000))
}

func TestUnknownNamesCountAsOther(t *testing.T) {
	is := is.New(t)
	m := configured()
	for i := range 5000 {
		r := answered(ids.Workspace(fmt.Sprint("ws", i)))
		r.Service = ids.Service(fmt.Sprint("svc", i))
		r.Region = ids.Region(fmt.Sprint("region", i))
		m.Record(r)
	}
	report := m.Report()
	is.Equal(report.Rows, []meter.Row{
		{Workspace: meter.Other, Service: meter.Other, Region: meter.Other, Outcome: "ran", Count: 5000},
	})
	is.Equal(len(report.Workspaces), 1)
}

func TestNamesStayBoundedOverManyConfigurations(t *testing.T) {
	is := is.New(t)
	m := meter.New()
	const n = 1500
	for i := range n {
		name := ids.Workspace(fmt.Sprint("ws", i))
		m.Configure(config.NewSnapshot(1, &config.Document{Workspaces: []config.Workspace{{Name: name}}}))
		m.Record(answered(name))
	}
	report := m.Report()
	is.Equal(len(report.Workspaces), 1025) // maxNames and Other
	var sum int64
	for _, w := range report.Workspaces {
		sum += w.Latency.Count
	}
	is.Equal(sum, int64(n))
}

func TestMetricsAreJSONWithHistogramsByName(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := configured()
		m.Record(answered("oak"))
		m.Record(callers.Record{Outcome: refusal.NotRun, Code: refusal.CodeKeyUnknown})
		var b bytes.Buffer
		is.NoErr(m.WriteJSON(&b))
		var all map[string]map[string]float64
		is.NoErr(json.Unmarshal(b.Bytes(), &all))
		is.Equal(all["workspaces.oak.latencyUs"]["count"], 1.0)
		is.Equal(all["workspaces.oak.latencyUs"]["p99"], 3000.0)
		is.Equal(all["services.shop.waitedUs"]["max"], 1000.0)
		is.Equal(all["refusals.keyUnknown"]["value"], 1.0)
	})
}

func TestRecordsFromSeveralGoroutinesAllCount(t *testing.T) {
	is := is.New(t)
	m := configured()
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 1000 {
				m.Record(answered("oak"))
			}
		})
	}
	wg.Wait()
	is.Equal(m.Report().Rows[0].Count, int64(8000))
}

func BenchmarkRecord(b *testing.B) {
	m := configured()
	r := answered("oak")
	b.ReportAllocs()
	for b.Loop() {
		m.Record(r)
	}
}

func BenchmarkRecordParallel(b *testing.B) {
	m := configured()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		r := answered("oak")
		for pb.Next() {
			m.Record(r)
		}
	})
}
