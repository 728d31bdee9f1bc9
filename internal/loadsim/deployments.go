package loadsim

import "time"

// SmallDeployment returns a deployment in which one region has few targets, so that
// part of its look-ups must go to other regions.
func SmallDeployment() Deployment {
	return Deployment{
		Name: "shop",
		Zones: []Zone{
			{Name: "w1", Region: "west", Targets: 4, Hosts: 2, Rate: 18, Phase: 0},
			{Name: "w2", Region: "west", Targets: 4, Hosts: 2, Rate: 18, Phase: 0},
			{Name: "s1", Region: "south", Targets: 1, Hosts: 2, Rate: 18, Phase: 1.0 / 3},
			{Name: "s2", Region: "south", Targets: 1, Hosts: 1, Rate: 18, Phase: 1.0 / 3},
			{Name: "e1", Region: "east", Targets: 3, Hosts: 2, Rate: 18, Phase: 2.0 / 3},
			{Name: "e2", Region: "east", Targets: 3, Hosts: 1, Rate: 18, Phase: 2.0 / 3},
		},
		Slots: 6, WarmObjects: 21, ObjectsPerRegion: 47,
		WarmTime: 192 * time.Millisecond, ColdTime: 640 * time.Millisecond,
		Objective: 400 * time.Millisecond, Deadline: 1500 * time.Millisecond,
		Amplitude: 0.55, Period: 36 * time.Second,
		CrossZoneDelay: 1400 * time.Microsecond, CrossRegionDelay: 12 * time.Millisecond,
	}
}

// EvenDeployment returns a deployment with more objects and the same number of
// targets in each zone.
func EvenDeployment() Deployment {
	d := Deployment{
		Name:  "courts",
		Slots: 9, WarmObjects: 46, ObjectsPerRegion: 116,
		WarmTime: 132 * time.Millisecond, ColdTime: 440 * time.Millisecond,
		Objective: 300 * time.Millisecond, Deadline: 2 * time.Second,
		Amplitude: 0.5, Period: 36 * time.Second,
		CrossZoneDelay: 500 * time.Microsecond, CrossRegionDelay: 20 * time.Millisecond,
	}
	for i, z := range []Zone{
		{Name: "n1", Region: "north"}, {Name: "n2", Region: "north"},
		{Name: "c1", Region: "centre"}, {Name: "c2", Region: "centre"},
		{Name: "p1", Region: "plain"}, {Name: "p2", Region: "plain"},
	} {
		z.Targets, z.Hosts, z.Rate = 3, 2, 78
		z.Phase = float64(i/2) / 3
		d.Zones = append(d.Zones, z)
	}
	return d
}

// TwoClassDeployment returns the SmallDeployment with a second class of requests.
// They have shorter service times and deadlines, and come from a service that lacks
// capacity of its own.
func TwoClassDeployment() Deployment {
	d := SmallDeployment()
	d.Name = "desk"
	d.Classes = []Class{
		{Name: "look-up", Share: 0.8, WarmTime: d.WarmTime, ColdTime: d.ColdTime, Objective: d.Objective, Deadline: d.Deadline},
		{
			Name: "sheet", Share: 0.2, WarmTime: 77 * time.Millisecond, ColdTime: 256 * time.Millisecond,
			Objective: 200 * time.Millisecond, Deadline: 1200 * time.Millisecond,
		},
	}
	return d
}
