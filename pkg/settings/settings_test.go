package settings_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/decoder"
	"gypsumbeam.example/gypsumbeam/pkg/settings"
)

const validSettings = `{
  // Where the host is.
  "region": "east",
  "zone": "east-a",
  "listen": {
    "callers": "0.0.0.0:8080",
    "peers": "10.1.0.5:8081",
    "operators": "10.1.0.5:8082",
  },
  "advertised": {"callers": "10.1.0.5:80"},
  "platformUrl": "http://10.0.0.1:7000",
  "seeds": ["10.1.0.6:8081"],
  "drainLimitMs": 20000,
  "noticeMs": 5000,
  "log": {"on": true, "output": "lease,seats"},
}
`

func TestAdvertisedAddressesDefaultToListenAddresses(t *testing.T) {
	is := is.New(t)
	s, err := settings.Parse([]byte(validSettings))
	is.NoErr(err)
	is.Equal(s.Advertised.Peers, "10.1.0.5:8081")
	is.Equal(s.ListenAddress(s.Advertised.Callers), "0.0.0.0:8080")
	is.Equal(s.ListenAddress(s.Advertised.Peers), "10.1.0.5:8081")
}

func TestParseReportsFaultsWithLineAndPath(t *testing.T) {
	cases := []struct {
		name, before, after string
		line                int
		path                string
	}{
		{"unknown field", `"zone"`, `"zome"`, 4, "zome"},
		{"no zone", `"zone": "east-a",`, ``, 1, "zone"},
		{"host name", `10.1.0.5:8081`, `localhost:8081`, 7, "listen.peers"},
		{"port twice", `10.1.0.5:8082`, `10.1.0.5:8081`, 8, "listen.operators"},
		{"out of others' reach", `{"callers": "10.1.0.5:80"}`, `{}`, 10, "advertised.callers"},
		{"advertised everywhere", `10.1.0.5:80"`, `0.0.0.0:80"`, 10, "advertised.callers"},
		{"advertised twice", `"10.1.0.5:80"`, `"10.1.0.5:80", "peers": "10.1.0.5:80"`, 10, "advertised.peers"},
		{"URL", `http://10.0.0.1:7000`, `10.0.0.1:7000`, 11, "platformUrl"},
		{"URL with a query", `http://10.0.0.1:7000`, `http://10.0.0.1:7000?x`, 11, "platformUrl"},
		{"seed", `10.1.0.6:8081`, `10.1.0.6`, 12, "seeds[0]"},
		{"negative time", `20000`, `-1`, 13, "drainLimitMs"},
		{"notice", `5000`, `20000`, 14, "noticeMs"},
		{"notice above the default limit", `"drainLimitMs": 20000,
  "noticeMs": 5000`, `"noticeMs": 40000`, 13, "noticeMs"},
		{"limit below the default notice", `20000,
  "noticeMs": 5000`, `5000`, 13, "drainLimitMs"},
		{"subsystem", `lease,seats`, `lease,chairs`, 15, "log.output"},
		{"output without log", `"on": true, `, ``, 15, "log.output"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Contains(validSettings, c.before))
			_, err := settings.Parse([]byte(strings.Replace(validSettings, c.before, c.after, 1)))
			faults := &decoder.ErrFaults{}
			is.True(errors.As(err, &faults))
			for _, f := range faults.Faults {
				if f.Line == c.line && f.Path == c.path {
					return
				}
			}
			t.Errorf("no fault at line %d, path %q in:\n%v", c.line, c.path, err)
		})
	}
}
