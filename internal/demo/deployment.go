package demo

import (
	"net/http"
	"time"

	"github.com/zeebo/errs"

	"gypsumbeam.example/gypsumbeam/examples"
	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/parser"
)

// deployment is an example fleet and the requests of its ordinary day. The delays are
// one-way.
type deployment struct {
	name                                string
	zoneDelay, regionDelay, clientDelay time.Duration
	hostsPerRegion                      []int
	// serviceTimes holds the mean time of a request at a warm target, by service.
	serviceTimes map[ids.Service]time.Duration
	kinds        []requestKind
}

// requestKind is a kind of request.
type requestKind struct {
	service ids.Service
	method  string
	path    string
	// share is the weight of the kind relative to the other kinds.
	share      float64
	atMostOnce bool
	// open is set if the route needs no key.
	open bool
	// minBody and maxBody are the limits of the body's length in bytes.
	minBody, maxBody int
}

const (
	smallestUpload = 100 << 10
	largestUpload  = 1000 << 10
	formBytes      = 300
)

// Deployments returns the names that Config.Deployment accepts.
func Deployments() []string {
	names := make([]string, 0, len(deployments))
	for _, d := range deployments {
		names = append(names, d.name)
	}
	return names
}

var deployments = []deployment{
	{
		name:           "crested-thread",
		zoneDelay:      1500 * time.Microsecond,
		regionDelay:    12 * time.Millisecond,
		clientDelay:    time.Millisecond,
		hostsPerRegion: []int{4, 4, 3},
		serviceTimes: map[ids.Service]time.Duration{
			"uniform-shop": 80 * time.Millisecond,
			"till":         120 * time.Millisecond,
			"crest-intake": 150 * time.Millisecond,
			"stitch-room":  80 * time.Millisecond,
		},
		kinds: []requestKind{
			{service: "uniform-shop", method: http.MethodGet, path: "/sizes/blazer", share: 0.35, open: true},
			{service: "uniform-shop", method: http.MethodGet, path: "/stock/jumper", share: 0.20, open: true},
			{service: "uniform-shop", method: http.MethodPost, path: "/orders", share: 0.08, atMostOnce: true, minBody: formBytes, maxBody: formBytes},
			{service: "till", method: http.MethodPost, path: "/payments", share: 0.15, atMostOnce: true, minBody: formBytes, maxBody: formBytes},
			{service: "stitch-room", method: http.MethodGet, path: "/sheets/today", share: 0.15},
			{service: "stitch-room", method: http.MethodPost, path: "/approvals", share: 0.04, atMostOnce: true, minBody: formBytes, maxBody: formBytes},
			{service: "crest-intake", method: http.MethodPut, path: "/artwork", share: 0.03, minBody: smallestUpload, maxBody: largestUpload},
		},
	},
	{
		name:           "halvorsen",
		zoneDelay:      500 * time.Microsecond,
		regionDelay:    20 * time.Millisecond,
		clientDelay:    8 * time.Millisecond,
		hostsPerRegion: []int{4, 3, 3},
		serviceTimes: map[ids.Service]time.Duration{
			"slotview":   80 * time.Millisecond,
			"ledger":     100 * time.Millisecond,
			"drawdesk":   150 * time.Millisecond,
			"coachboard": 80 * time.Millisecond,
		},
		kinds: []requestKind{
			{service: "slotview", method: http.MethodGet, path: "/courts/open", share: 0.65, open: true},
			{service: "ledger", method: http.MethodPost, path: "/bookings", share: 0.20, atMostOnce: true, minBody: formBytes, maxBody: formBytes},
			{service: "coachboard", method: http.MethodGet, path: "/rosters/today", share: 0.12},
			{service: "drawdesk", method: http.MethodPut, path: "/draws", share: 0.03, minBody: smallestUpload, maxBody: largestUpload},
		},
	},
}

func findDeployment(name string) (*deployment, error) {
	for i := range deployments {
		if deployments[i].name == name {
			return &deployments[i], nil
		}
	}
	return nil, errs.New("there is no deployment %q", name)
}

// document returns the deployment's configuration document.
func (d *deployment) document() (*config.Document, error) {
	text, err := examples.Document(d.name)
	if err != nil {
		return nil, err
	}
	return parser.Parse(text)
}
