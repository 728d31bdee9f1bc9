package loadsim

import "time"

// Shop returns a small deployment in which one region has few targets: its look-ups
// have to find room elsewhere.
func Shop() Site {
	return Site{
		Name: "shop",
		Zones: []Zone{
			{Name: "w1", Region: "west", Targets: 4, Hosts: 2, Rate: 18, Phase: 0},
			{Name: "w2", Region: "west", Targets: 4, Hosts: 2, Rate: 18, Phase: 0},
			{Name: "s1", Region: "south", Targets: 1, Hosts: 2, Rate: 18, Phase: 1.0 / 3},
			{Name: "s2", Region: "south", Targets: 1, Hosts: 1, Rate: 18, Phase: 1.0 / 3},
			{Name: "e1", Region: "east", Targets: 3, Hosts: 2, Rate: 18, Phase: 2.0 / 3},
			{Name: "e2", Region: "east", Targets: 3, Hosts: 1, Rate: 18, Phase: 2.0 / 3},
		},
		Slots: 6, Kept: 21, Objects: 47,
		Warm: 192 * time.Millisecond, Cold: 640 * time.Millisecond,
		Objective: 400 * time.Millisecond, Deadline: 1500 * time.Millisecond,
		Swing: 0.55, Period: 36 * time.Second,
		CrossZone: 1400 * time.Microsecond, CrossRegion: 12 * time.Millisecond,
	}
}

// Courts returns a deployment with more objects and evenly spread targets.
func Courts() Site {
	s := Site{
		Name:  "courts",
		Slots: 9, Kept: 46, Objects: 116,
		Warm: 132 * time.Millisecond, Cold: 440 * time.Millisecond,
		Objective: 300 * time.Millisecond, Deadline: 2 * time.Second,
		Swing: 0.5, Period: 36 * time.Second,
		CrossZone: 500 * time.Microsecond, CrossRegion: 20 * time.Millisecond,
	}
	for i, z := range []Zone{
		{Name: "n1", Region: "north"}, {Name: "n2", Region: "north"},
		{Name: "c1", Region: "centre"}, {Name: "c2", Region: "centre"},
		{Name: "p1", Region: "plain"}, {Name: "p2", Region: "plain"},
	} {
		z.Targets, z.Hosts, z.Rate = 3, 2, 78
		z.Phase = float64(i/2) / 3
		s.Zones = append(s.Zones, z)
	}
	return s
}

// Desk returns the shop with two kinds of requests, of which the smaller one has
// less work and less time, as it comes from a service that lacks room of its own.
func Desk() Site {
	s := Shop()
	s.Name = "desk"
	s.Kinds = []Kind{
		{Name: "look-up", Part: 0.8, Warm: s.Warm, Cold: s.Cold, Objective: s.Objective, Deadline: s.Deadline},
		{
			Name: "sheet", Part: 0.2, Warm: 77 * time.Millisecond, Cold: 256 * time.Millisecond,
			Objective: 200 * time.Millisecond, Deadline: 1200 * time.Millisecond,
		},
	}
	return s
}
