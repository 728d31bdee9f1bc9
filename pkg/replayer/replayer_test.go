package replayer_test

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/replayer"
)

func TestShortBodyIsReplayable(t *testing.T) {
	is := is.New(t)
	body := replayer.New(strings.NewReader("order"), 10, 0)
	for range 3 {
		reader := body.NewReader()
		text, err := io.ReadAll(iotest.OneByteReader(reader))
		is.NoErr(err)
		is.Equal(string(text), "order")
		is.NoErr(reader.Close())
		is.True(body.Replayable())
		_, err = reader.Read(make([]byte, 1))
		is.True(err != nil) // the reader is closed
	}
}

func TestBodiesThatAreNotReplayable(t *testing.T) {
	is := is.New(t)
	long := replayer.New(strings.NewReader("a long order"), 4, 0)
	_, err := io.ReadAll(long.NewReader())
	is.NoErr(err)
	is.True(!long.Replayable())
	over := replayer.New(strings.NewReader("a long order"), 100, 4)
	_, err = io.ReadAll(over.NewReader())
	is.True(err != nil)
	is.True(over.TooLarge())
	broken := replayer.New(iotest.ErrReader(errors.New("cut")), 100, 0)
	_, err = io.ReadAll(broken.NewReader())
	is.True(err != nil)
	is.True(broken.Broken())
	is.True(!broken.Replayable())
}
