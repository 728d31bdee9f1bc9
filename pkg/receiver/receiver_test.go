package receiver_test

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/receiver"
)

// A body that arrives in parts is told from one that has stalled, and from none.
func TestSlowBodyIsToldFromStalledOne(t *testing.T) {
	const recent = 250 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var rc receiver.Receiver
		body, sender := io.Pipe()
		is.True(!rc.Receiving(recent))
		done := make(chan []byte)
		go func() {
			text, err := rc.ReadAll(body)
			if err != nil {
				t.Error(err)
			}
			done <- text
		}()
		for range 10 {
			_, err := sender.Write([]byte("part"))
			is.NoErr(err)
			time.Sleep(200 * time.Millisecond)
			is.True(rc.Receiving(recent))
		}
		time.Sleep(recent)
		is.True(!rc.Receiving(recent))
		is.NoErr(sender.Close())
		is.Equal(len(<-done), 40)
		is.Equal(rc.Bytes(), int64(40))
		is.True(!rc.Receiving(recent))
	})
}
