package retrier

import (
	"testing"

	"github.com/matryer/is"
)

func TestBudget(t *testing.T) {
	is := is.New(t)
	var b Budget
	retries := 0
	for range 1000 {
		b.RecordRequest("till", "school", 0.1)
		if b.AllowRetry("till", "school") {
			retries++
		}
	}
	is.True(retries >= 99)
	is.True(retries <= 1+100)              // the initial credit and a tenth of the requests
	is.True(b.AllowRetry("till", "club"))  // each workspace has its own budget
	is.True(!b.AllowRetry("till", "club")) // the initial credit is used up
	for range 1000 {
		b.RecordRequest("shop", "school", 0.1) // credit accumulates only up to defaultMaxCredit
	}
	burst := 0
	for b.AllowRetry("shop", "school") {
		burst++
	}
	is.True(burst <= defaultMaxCredit)
}

// Guards against hosts that share a budget each accumulating all of it.
func TestMaxCreditBoundsRetries(t *testing.T) {
	is := is.New(t)
	b := Budget{MaxCredit: func() float64 { return 4 }}
	for range 1000 {
		b.RecordRequest("s", "", 0.1)
	}
	taken := 0
	for b.AllowRetry("s", "") {
		taken++
	}
	is.Equal(taken, 4)
}
