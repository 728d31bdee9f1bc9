package gatewayhost

import (
	"cmp"
	"encoding/json"
	"net/http"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/service/gateway"
)

// ServeExplain tells operators in JSON where a request would be sent now. The request is given
// by the query parameters name and path, and optionally method, object, workspace and timeout.
func (h *Host) ServeExplain(w http.ResponseWriter, r *http.Request) {
	v := r.URL.Query()
	timeout, err := time.ParseDuration(cmp.Or(v.Get("timeout"), "0s"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e, err := h.handler.Explain(gateway.Query{
		Method: cmp.Or(v.Get("method"), http.MethodGet), Host: v.Get("name"), Path: v.Get("path"), Object: v.Get("object"),
		Workspace: ids.Workspace(v.Get("workspace")), Timeout: timeout,
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.Instance, e.Zone, e.Region = h.cfg.Self.Instance, h.cfg.Self.Zone, h.cfg.Self.Region
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(e) // an error means that the client is gone
}
