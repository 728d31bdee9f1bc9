package replayer_test

import (
	"bytes"
	"io"
	"testing"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/replayer"
)

// Load: a target refuses an upload before it has read it, and the send that failed reads on while
// the next one begins, until more was read than is buffered. Guards against a second send that
// lacks the part in between.
func TestSecondSendLacksNoPart(t *testing.T) {
	is := is.New(t)
	body := bytes.Repeat([]byte("0123456789"), 20)
	r := replayer.New(bytes.NewReader(body), 100, 0)
	first := r.NewReader()
	_, err := io.ReadFull(first, make([]byte, 60))
	is.NoErr(err)
	is.True(r.Replayable())
	second := r.NewReader()
	_, err = io.ReadFull(first, make([]byte, 60))
	is.True(err != nil) // the earlier send reads no further
	got, err := io.ReadAll(second)
	is.NoErr(err)
	is.Equal(got, body)
	_, err = io.ReadAll(r.NewReader())
	is.True(err != nil) // the body is no longer buffered: an error, and no part of it
}
