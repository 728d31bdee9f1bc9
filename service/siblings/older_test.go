package siblings_test

import (
	"net"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/lister"
)

// Positions of fields in messages and sections, and the lengths of the two forms.
const (
	proofAgeField, reachesField             = 5, 9
	hostsField, sectionsField               = 3, 10
	messageFields, olderMessageFields       = 11, 10
	statusFields, olderStatusFields         = 4, 3
	cborArray, cborMajorTypeBits            = 4, 5
	maxForm                                 = 64 << 10
	never                             int64 = -1
)

// olderConn makes a host one of an older build: what it sends has the older form, and it
// understands nothing else.
type olderConn struct {
	net.PacketConn
	t *testing.T
}

func (c *olderConn) WriteTo(p []byte, to net.Addr) (int, error) {
	fields := unmarshalArray(c.t, p)
	fields[proofAgeField] = marshal(c.t, never)
	fields[sectionsField] = convertSections(c.t, fields[sectionsField], statusFields, func(s []cbor.RawMessage) []cbor.RawMessage { return s[:olderStatusFields] })
	if _, err := c.PacketConn.WriteTo(marshal(c.t, slices.Delete(fields, reachesField, reachesField+1)), to); err != nil {
		return 0, err
	}
	return len(p), nil
}

func (c *olderConn) ReadFrom(p []byte) (int, net.Addr, error) {
	buf := make([]byte, maxForm)
	for {
		n, from, err := c.PacketConn.ReadFrom(buf)
		if err != nil {
			return 0, from, err
		}
		fields := unmarshalArray(c.t, buf[:n])
		if len(fields) != olderMessageFields {
			continue
		}
		no := marshal(c.t, false)
		fields = slices.Insert(fields, reachesField, no)
		fields[sectionsField] = convertSections(c.t, fields[sectionsField], olderStatusFields, func(s []cbor.RawMessage) []cbor.RawMessage { return append(s, no) })
		return copy(p, marshal(c.t, fields)), from, nil
	}
}

// convertSections converts the statuses of hosts in encoded sections, which must have a number of
// fields.
func convertSections(t *testing.T, data cbor.RawMessage, fields int, convert func([]cbor.RawMessage) []cbor.RawMessage) cbor.RawMessage {
	sections := unmarshalArray(t, data)
	for i, s := range sections {
		if s[0]>>cborMajorTypeBits != cborArray {
			continue // observations have one form
		}
		section := unmarshalArray(t, s)
		statuses := unmarshalArray(t, section[hostsField])
		for j, status := range statuses {
			all := unmarshalArray(t, status)
			if len(all) != fields {
				t.Errorf("a status of a host has %d fields instead of %d", len(all), fields)
				return data
			}
			statuses[j] = marshal(t, convert(all))
		}
		section[hostsField] = marshal(t, statuses)
		sections[i] = marshal(t, section)
	}
	return marshal(t, sections)
}

func unmarshalArray(t *testing.T, data []byte) []cbor.RawMessage {
	var all []cbor.RawMessage
	if err := cbor.Unmarshal(data, &all); err != nil {
		t.Errorf("no array: %v", err)
	}
	return all
}

func marshal(t *testing.T, v any) cbor.RawMessage {
	data, err := cbor.Marshal(v)
	if err != nil {
		t.Errorf("not encoded: %v", err)
	}
	return data
}

// Hosts of an older build and of this one hear each other, and count each other's requests once.
// Requests are not passed on to hosts of the older build.
func TestOlderBuildIsUnderstood(t *testing.T) {
	oddHosts := func(h lister.Host) bool { return (h.Instance[len(h.Instance)-1])%2 == 1 }
	for name, c := range map[string]struct {
		zones, hosts int
		older        func(h lister.Host) bool
	}{
		"few hosts":               {2, 2, oddHosts},
		"zones with leaders":      {6, 6, oddHosts},
		"leaders are older":       {6, 6, func(h lister.Host) bool { return h.Instance[len(h.Instance)-1] == '0' }},
		"leaders are not older":   {6, 6, func(h lister.Host) bool { return h.Instance[len(h.Instance)-1] != '0' }},
		"leaders of some zones":   {6, 6, func(h lister.Host) bool { return h.Instance[1]%2 == 0 && h.Instance[len(h.Instance)-1] == '0' }},
		"all are of the same one": {6, 6, func(lister.Host) bool { return false }},
	} {
		t.Run(name, func(t *testing.T) {
			withMixedZones(t, c.zones, c.hosts, c.older, func(_ *fleet, all [][]*host) {
				is := is.New(t)
				total := 0
				for z, hosts := range all {
					for i, h := range hosts {
						h.request(t, z+i+1)
						total += z + i + 1
					}
				}
				time.Sleep(1500 * time.Millisecond)
				older := make(map[ids.Instance]bool)
				for _, h := range slices.Concat(all...) {
					older[h.self.Instance] = c.older(h.self)
				}
				for _, h := range slices.Concat(all...) {
					is.Equal(h.backlog(t), total)
					is.Equal(len(h.broadcaster.Unavailable()), 0)
					for _, o := range h.broadcaster.ReachingTargets() {
						is.True(!older[o.Instance])
					}
				}
			})
		})
	}
}
