package gatewayhost_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/confirmer"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/lister"
	"gypsumbeam.example/gypsumbeam/pkg/registrar"
	"gypsumbeam.example/gypsumbeam/pkg/router"
	"gypsumbeam.example/gypsumbeam/service/gateway"
	"gypsumbeam.example/gypsumbeam/service/gatewayhost"
)

// Guards against a host that fails when it is asked before it has a configuration, or that
// explains by other facts than it serves by.
func TestHostExplainsRequests(t *testing.T) {
	is := is.New(t)
	confirmed := &confirmer.Confirmer{}
	h := gatewayhost.New(gatewayhost.Config{
		Self: lister.Host{Instance: "i", Zone: "z0", Region: "r0"}, Regions: map[ids.Zone]ids.Region{"z0": "r0", "z1": "r0"},
		HeaderCodec: codec{}, Confirmer: confirmed, State: storeState{}, Bounds: gatewayhost.Bounds{RevocationTime: time.Hour},
	})
	get := func(query string) (int, gateway.Explanation) {
		rec := httptest.NewRecorder()
		h.ServeExplain(rec, httptest.NewRequest(http.MethodGet, "/explain?"+query, nil))
		var e gateway.Explanation
		if rec.Code == http.StatusOK {
			is.NoErr(json.Unmarshal(rec.Body.Bytes(), &e))
		}
		return rec.Code, e
	}
	code, e := get("name=h&path=/x/1")
	is.Equal(code, http.StatusOK)
	is.Equal(e.Reason, "noConfiguration")
	is.True(e.ConfirmedAgoMs == nil)
	for _, query := range []string{"", "name=h&path=x", "name=h&path=/x/1&timeout=2"} {
		code, _ = get(query)
		is.Equal(code, http.StatusBadRequest)
	}
	confirmed.Confirm(confirmed.Now())
	h.SetDocument(router.Document{
		Version: 7, Workspaces: []router.Workspace{{Name: "w", Rate: 10, Burst: 100}, {Name: "free"}},
		Routes: []*router.Route{{Name: "x", Host: "h", Prefix: "/x/", Shares: []router.Share{{Service: "s", Weight: 1}}, Objective: time.Second}},
	})
	h.SetTargets([]registrar.Target{
		{ID: "a", Service: "s", Zone: "z0", Slots: 1, Address: "10.0.0.1:1"}, {ID: "b", Service: "s", Zone: "z1", Slots: 1, Address: "10.0.0.2:1"},
	}, registrar.NormalRead)
	h.SetEvacuated(map[ids.Zone]bool{"z0": true})
	_, e = get("name=h&path=/x/1&workspace=free&timeout=2s")
	is.Equal(e.ConfigVersion, uint64(7))
	is.Equal(e.Instance, ids.Instance("i"))
	is.Equal(*e.WithinRate, true)
	is.True(e.TimeLeftMs > 1900 && e.TimeLeftMs < 2000)
	is.Equal(e.Services[0].Target, ids.Target("b"))
	is.Equal(e.Services[0].Excluded[0].Reason, "evacuated")
	_, e = get("name=h&path=/x/1&workspace=w")
	is.True(e.WithinRate != nil)
	_, e = get("name=h&path=/y/1")
	is.Equal(e.Reason, "noRoute")
}
