package gatewayhost

import (
	"github.com/apex/log"

	"gypsumbeam.example/gypsumbeam/pkg/throttler"
)

// rateSharing tells operators which hosts share the workspaces' rates: this host admits together
// with the reachable ones, by their part of all hosts. Its log lines of several hosts show when two of
// them counted differently.
type rateSharing struct {
	throttler      *throttler.Throttler
	log            log.Interface
	all, reachable int
}

// record logs the numbers of hosts if they have changed.
func (s *rateSharing) record() {
	all, reachable := s.throttler.Hosts()
	if all == s.all && reachable == s.reachable {
		return
	}
	s.all, s.reachable = all, reachable
	s.log.WithFields(log.Fields{"hosts": all, "reachable": reachable}).Info("sharing of rates changed")
}
