package router_test

import (
	"testing"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/router"
)

func document() router.Document {
	one := []router.Share{{Service: "a", Weight: 1}}
	return router.Document{
		Version: 3,
		Routes: []*router.Route{
			{Name: "root", Host: "shop.example", Prefix: "/", Shares: one},
			{Name: "long", Host: "shop.example", Prefix: "/sizes/school/", Shares: one},
			{Name: "short", Host: "shop.example", Prefix: "/sizes/", Shares: one},
			{Name: "split", Host: "Other.Example", Prefix: "/x/", Shares: []router.Share{
				{Service: "a", Weight: 90}, {Service: "b", Weight: 10},
			}},
		},
		Workspaces: []router.Workspace{{Name: "one", Keys: []string{"k1", "k2"}}, {Name: "two", Keys: []string{"k3"}}},
	}
}

func TestLongestPrefixWins(t *testing.T) {
	is := is.New(t)
	r := router.New(document())
	for path, want := range map[string]string{
		"/": "root", "/size": "root", "/sizes/4": "short", "/sizes/school/9": "long", "/sizes/schools/": "short",
	} {
		is.Equal(r.Match("shop.example", path).Name, want) // path
		is.Equal(r.Match("SHOP.example:8080", path).Name, want)
	}
	is.True(r.Match("nowhere.example", "/") == nil)
	is.True(r.Match("other.example", "/y/") == nil)
}

func TestWorkspaceByKey(t *testing.T) {
	is := is.New(t)
	r := router.New(document())
	is.Equal(r.WorkspaceByKey("k1").Name, ids.Workspace("one"))
	is.Equal(r.WorkspaceByKey("k2").Name, ids.Workspace("one"))
	is.Equal(r.WorkspaceByKey("k3").Name, ids.Workspace("two"))
	is.True(r.WorkspaceByKey("") == nil)
	is.True(r.WorkspaceByKey("k4") == nil)
}

// In any 300 consecutive requests, the shares are within a tenth of the weights.
func TestSharesHoldOverShortRuns(t *testing.T) {
	is := is.New(t)
	route := router.New(document()).Match("other.example", "/x/")
	const run, tolerance = 300, 0.1
	for range 50 {
		n := 0
		for range run {
			if route.Pick() == "b" {
				n++
			}
		}
		got := float64(n) / run
		is.True(got > 0.1-tolerance*0.1 && got < 0.1+tolerance*0.1) // the share of b
	}
}
