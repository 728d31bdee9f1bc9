package verifier_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/verifier"
)

const (
	maxAge     = 4400 * time.Millisecond
	followTime = 3 * time.Second
)

func newVerifier(rank int, maxAge time.Duration) *verifier.Verifier {
	return newVerifierWithin(rank, maxAge, followTime)
}

func newVerifierWithin(rank int, maxAge, followTime time.Duration) *verifier.Verifier {
	return &verifier.Verifier{
		Rank: func() int { return rank }, MaxAge: func() time.Duration { return maxAge },
		FollowTime: func() time.Duration { return followTime },
	}
}

// askAge returns the age of the last answer at which v asks.
func askAge(v *verifier.Verifier) time.Duration {
	for age := time.Duration(0); ; age += time.Millisecond {
		if v.Due(age, true) {
			return age
		}
	}
}

// Hosts ask in the order of their ranks, and the last ones so early that targets that
// leave are followed within 3 s.
func TestHostsAskInOrder(t *testing.T) {
	const lastAskAge = 2200 * time.Millisecond
	is := is.New(t)
	last := time.Duration(0)
	for rank := range 4 {
		age := askAge(newVerifier(rank, maxAge))
		is.True(age > last)
		last = age
	}
	for range 100 {
		is.True(askAge(newVerifier(20, maxAge)) < lastAskAge)
	}
	is.True(newVerifier(0, maxAge).Due(0, false))
}

// However short the bounds are, all hosts ask well before they are over.
func TestAllAskBeforeBounds(t *testing.T) {
	is := is.New(t)
	for _, m := range []time.Duration{100 * time.Millisecond, time.Second, 2 * time.Second, time.Minute} {
		for rank := range 6 {
			is.True(askAge(newVerifier(rank, m)) < m*3/4)
			is.True(askAge(newVerifierWithin(rank, time.Minute, m)) < m*3/4)
		}
	}
}

// A failing store is asked less often, but again and again.
func TestBackoffIsBounded(t *testing.T) {
	is := is.New(t)
	v := newVerifier(5, maxAge)
	first := v.Backoff()
	var last time.Duration
	for range 10 {
		last = v.Backoff()
	}
	is.True(last > first)
	is.True(last < maxAge/2)
	is.True(!v.Due(0, true))
	is.Equal(v.Backoff(), first)
}
