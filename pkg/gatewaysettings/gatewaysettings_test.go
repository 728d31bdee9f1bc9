package gatewaysettings_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/gatewaysettings"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

const validSettings = `// a host
{
  "name": "h", "zone": "one", "region": "west",
  "listen": {"callers": "10.0.0.1:1", "lookups": "10.0.0.1:2", "readiness": "10.0.0.1:3", "siblings": "10.0.0.1:4"},
  "store": "10.0.0.9:1",
  "zones": [{"zone": "one", "region": "west"}, {"zone": "two", "region": "east"}],
  "bounds": {"revoke": "5000ms", "grace": "6s"},
}`

func TestValidSettings(t *testing.T) {
	is := is.New(t)
	s, err := gatewaysettings.Parse([]byte(validSettings))
	is.NoErr(err)
	is.Equal(s.Bounds.RevocationTime(), 5*time.Second)
	is.Equal(s.Bounds.GracePeriod(), 6*time.Second)
	is.Equal(s.Regions()["two"], ids.Region("east"))
	is.Equal(s.Hedging.Share, 0.0)
	s, err = gatewaysettings.Parse([]byte(strings.Replace(validSettings, `"store"`, `"hedging": {"share": 0.2}, "store"`, 1)))
	is.NoErr(err)
	is.Equal(s.Hedging.Share, 0.2)
}

// Buffers get a quarter of the memory, and have no limit if the memory is unknown.
func TestBufferLimit(t *testing.T) {
	is := is.New(t)
	is.Equal(gatewaysettings.Machine{MemoryMB: 64}.BufferLimit(), int64(16<<20))
	is.Equal(gatewaysettings.Machine{}.BufferLimit(), int64(0))
}

func TestInvalidSettings(t *testing.T) {
	for name, c := range map[string]struct{ old, with, want string }{
		"noZone":      {`"zone": "one", "region": "west",`, ``, "zone: the host's availability zone is required"},
		"address":     {`"10.0.0.1:3"`, `"here"`, "listen.readiness: "},
		"time":        {`"5000ms"`, `"5 seconds"`, "bounds.revoke: "},
		"unknown":     {`"store"`, `"shop"`, "unknown field"},
		"hedgingHigh": {`"store"`, `"hedging": {"share": 0.21}, "store"`, "hedging.share: must be between 0 and 0.2, but is 0.21"},
		"hedgingLow":  {`"store"`, `"hedging": {"share": -0.1}, "store"`, "hedging.share: must be between 0 and 0.2, but is -0.1"},
		"hedgingText": {`"store"`, `"hedging": {"share": "5%"}, "store"`, "hedging.share: must be a number"},
		"hedgingName": {`"store"`, `"hedging": {"part": 0.1}, "store"`, "unknown field"},
		"mistyped":    {`"10.0.0.9:1"`, `9`, "must be a string"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := gatewaysettings.Parse([]byte(strings.Replace(validSettings, c.old, c.with, 1)))
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), c.want))
		})
	}
}
