package pacer

import "math"

// marginDivisor divides a group's width into the margin at each of its edges.
const marginDivisor = 8

// Share is a host's part of every limit. The hosts form groups, and a permit has two
// positions: one decides which group it belongs to, the other which member of the group. So
// a change of the groups' weights takes few permits from their hosts, however many hosts
// there are. The zero value is no part.
type Share struct {
	group, member arc
}

// Place is a host's place among all hosts. All hosts must list groups and members in the
// same order.
type Place struct {
	// Group is the index of the host's group, and Member its index in the group, which has
	// Members hosts.
	Group, Member, Members int
}

// ShareOf returns the share of the host at a place. The shares of all hosts do not overlap.
// Groups have shares in proportion to their weights, and their members equal ones.
func ShareOf(p Place, weights []float64) Share {
	total, before := 0.0, 0.0
	for i, w := range weights {
		total += w
		if i < p.Group {
			before += w
		}
	}
	if p.Group < 0 || p.Group >= len(weights) || p.Member < 0 || p.Member >= p.Members || total <= 0 {
		return Share{}
	}
	members := float64(p.Members)
	return Share{
		group:  arcBetween(before/total, (before+weights[p.Group])/total),
		member: arcBetween(float64(p.Member)/members, float64(p.Member+1)/members),
	}
}

// Fraction returns the part of all permits that belong to the host, from 0 to 1.
func (s Share) Fraction() float64 { return s.group.fraction() * s.member.fraction() }

// inner returns the part of the share that stays with the host when the weights of the
// groups change a little.
func (s Share) inner() Share {
	if margin := s.group.width / marginDivisor; s.group.width < math.MaxUint64 {
		s.group = arc{s.group.start + margin, s.group.width - 2*margin}
	}
	return s
}

// holds reports whether a permit at a position belongs to the host.
func (s Share) holds(p position) bool { return s.group.holds(p.group) && s.member.holds(p.member) }

// position is where a permit lies. Positions are all numbers of 64 bits, and wrap around.
type position struct{ group, member uint64 }

// arc is width positions from start on.
type arc struct{ start, width uint64 }

// arcBetween returns the positions between two fractions of all positions, from 0 to 1.
func arcBetween(from, to float64) arc {
	start := positionAt(from)
	return arc{start, positionAt(to) - start}
}

// positionAt converts a fraction of all positions.
func positionAt(fraction float64) uint64 {
	if x := math.Ldexp(fraction, 64); x < math.MaxUint64 {
		return uint64(x)
	}
	return math.MaxUint64
}

func (a arc) holds(p uint64) bool { return p-a.start < a.width }

func (a arc) fraction() float64 { return math.Ldexp(float64(a.width), -64) }
