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

func send(t *testing.T, b *replicaserver.Server, owner string, epoch, oldest uint64, id string) bool {
	t.Helper()
	r, err := b.Copy(t.Context(), &peerpb.CopyRequest{
		Owner: owner, Epoch: epoch, Id: id, Request: []byte("school pays"), Oldest: oldest,
		Outcome: &peerpb.OutcomeCopy{Status: 200, Body: []byte("paid " + id)},
	})
	if err != nil {
		t.Fatal(err)
	}
	return r.GetKept()
}

func find(b *replicaserver.Server, owner string, epoch uint64, id, request string) *peerpb.RecallReply {
	return b.Find(&peerpb.RecallRequest{Owner: owner, Epoch: epoch, Id: id, Request: []byte(request)})
}

func TestAnotherRequestLearnsNothing(t *testing.T) {
	is := is.New(t)
	b := replicaserver.New(replicaserver.Config{})
	is.True(send(t, b, "a", 1, 1, "order"))
	is.Equal(string(find(b, "a", 1, "order", "school pays").GetOutcome().GetBody()), "paid order")
	other := find(b, "a", 1, "order", "club pays")
	is.True(other.GetReused())
	is.True(other.GetOutcome() == nil)
	for _, r := range []*peerpb.RecallReply{
		find(b, "b", 1, "order", "school pays"), find(b, "a", 2, "order", "school pays"), find(b, "a", 1, "x", "school pays"),
	} {
		is.True(r.GetOutcome() == nil && !r.GetReused())
	}
}

func TestRetiredEpochsGoAndStayGone(t *testing.T) {
	is := is.New(t)
	b := replicaserver.New(replicaserver.Config{})
	is.True(send(t, b, "a", 1, 1, "x"))
	is.True(send(t, b, "a", 2, 2, "y")) // the owner has retired the first
	is.True(find(b, "a", 1, "x", "school pays").GetOutcome() == nil)
	is.True(!send(t, b, "a", 1, 2, "x"))
	is.Equal(b.Owners(), []string{"a"})
}

func TestMemoryIsBoundedAndTheOldestGo(t *testing.T) {
	is := is.New(t)
	const bound = 4000
	b := replicaserver.New(replicaserver.Config{MaxBytes: bound})
	for i := range 100 {
		is.True(send(t, b, fmt.Sprint("owner", i%10), uint64(i/10+1), 1, fmt.Sprint(i)))
		is.True(b.Bytes() <= bound)
	}
	is.True(find(b, "owner9", 10, "99", "school pays").GetOutcome() != nil)
	is.True(find(b, "owner0", 1, "0", "school pays").GetOutcome() == nil)
}

func TestCopiesOfDeadOwnersAgeOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := replicaserver.New(replicaserver.Config{Retention: time.Hour})
		is.True(send(t, b, "a", 1, 1, "x"))
		time.Sleep(time.Hour + time.Second)
		is.Equal(len(b.Owners()), 0)
		is.Equal(b.Bytes(), int64(0))
	})
}
