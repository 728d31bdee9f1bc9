package limiter

import (
	"math"
	"time"
)

// demandTimeConstant is the time constant of the moving average.
const demandTimeConstant = 2 * time.Second

// demand is an exponentially weighted moving average of arrivals per second.
type demand struct {
	rate      float64
	arrivals  int
	updatedAt time.Time
}

// update adds the arrivals since the last call to the average.
func (d *demand) update(now time.Time) {
	dt := now.Sub(d.updatedAt)
	if dt <= 0 {
		return
	}
	weight := 1 - math.Exp(-dt.Seconds()/demandTimeConstant.Seconds())
	d.rate += (float64(d.arrivals)/dt.Seconds() - d.rate) * weight
	d.arrivals = 0
	d.updatedAt = now
}

// scaled returns the demand times factor, in nano-requests per second.
func (d *demand) scaled(factor float64) int64 {
	return int64(min(d.rate*factor*float64(oneRequest), math.MaxInt64/2))
}
