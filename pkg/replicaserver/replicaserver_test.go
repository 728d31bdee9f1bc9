package replicaserver_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/replicaserver"
	"gypsumbeam.example/gypsumbeam/service/peers/peerpb"
)

func send(t *testing.T, s *replicaserver.Server, owner string, epoch, oldest uint64, id string) bool {
	t.Helper()
	r, err := s.Copy(t.Context(), &peerpb.CopyRequest{
		Owner: owner, Epoch: epoch, Id: id, Request: []byte("school pays"), Oldest: oldest,
		Outcome: &peerpb.OutcomeCopy{Status: 200, Body: []byte("paid " + id)},
	})
	if err != nil {
		t.Fatal(err)
	}
	return r.GetKept()
}

func find(s *replicaserver.Server, owner string, epoch uint64, id, request string) *peerpb.RecallReply {
	return s.Find(&peerpb.RecallRequest{Owner: owner, Epoch: epoch, Id: id, Request: []byte(request)})
}

func TestDifferentRequestGetsNoOutcome(t *testing.T) {
	is := is.New(t)
	s := replicaserver.New(replicaserver.Config{})
	is.True(send(t, s, "a", 1, 1, "order"))
	is.Equal(string(find(s, "a", 1, "order", "school pays").GetOutcome().GetBody()), "paid order")
	other := find(s, "a", 1, "order", "club pays")
	is.True(other.GetReused())
	is.True(other.GetOutcome() == nil)
	for _, r := range []*peerpb.RecallReply{
		find(s, "b", 1, "order", "school pays"), find(s, "a", 2, "order", "school pays"), find(s, "a", 1, "x", "school pays"),
	} {
		is.True(r.GetOutcome() == nil && !r.GetReused())
	}
}

func TestRetiredEpochsAreDropped(t *testing.T) {
	is := is.New(t)
	s := replicaserver.New(replicaserver.Config{})
	is.True(send(t, s, "a", 1, 1, "x"))
	is.True(send(t, s, "a", 2, 2, "y")) // the owner has retired epoch 1
	is.True(find(s, "a", 1, "x", "school pays").GetOutcome() == nil)
	is.True(!send(t, s, "a", 1, 2, "x"))
	is.Equal(s.Owners(), []string{"a"})
}

func TestMemoryLimitDropsOldestEpochs(t *testing.T) {
	is := is.New(t)
	const bound = 4000
	s := replicaserver.New(replicaserver.Config{MaxBytes: bound})
	for i := range 100 {
		is.True(send(t, s, fmt.Sprint("owner", i%10), uint64(i/10+1), 1, fmt.Sprint(i)))
		is.True(s.Bytes() <= bound)
	}
	is.True(find(s, "owner9", 10, "99", "school pays").GetOutcome() != nil)
	is.True(find(s, "owner0", 1, "0", "school pays").GetOutcome() == nil)
}

func TestReplicasExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := replicaserver.New(replicaserver.Config{Retention: time.Hour})
		is.True(send(t, s, "a", 1, 1, "x"))
		time.Sleep(time.Hour + time.Second)
		is.Equal(len(s.Owners()), 0)
		is.Equal(s.Bytes(), int64(0))
	})
}
