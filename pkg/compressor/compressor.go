// Package compressor sends one body to many HTTP clients, compressed once for all of them. A
// large body would occupy the link of a small host for a second.
package compressor

import (
	"bytes"
	"compress/gzip"
	"net/http"
	"strings"
	"sync"

	"github.com/apex/log"
)

// minCompressedBytes is the length from which on bodies are compressed. Shorter ones fit
// into few packets anyway.
const minCompressedBytes = 4 << 10

// Compressor holds a JSON body. Its methods are safe for concurrent use.
type Compressor struct {
	// Text is the body. It must not be changed.
	Text []byte

	once   sync.Once
	zipped []byte
}

// Write sends the body in response to r, compressed if the client accepts that.
func (c *Compressor) Write(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	body := c.Text
	if len(body) >= minCompressedBytes && strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		if c.once.Do(c.compress); c.zipped != nil {
			w.Header().Set("Content-Encoding", "gzip")
			body = c.zipped
		}
	}
	if _, err := w.Write(body); err != nil {
		log.WithError(err).Warn("response not sent")
	}
}

// compress sets zipped. It favours speed, as small hosts may have to do it.
func (c *Compressor) compress() {
	var buf bytes.Buffer
	z, err := gzip.NewWriterLevel(&buf, gzip.BestSpeed)
	if err == nil {
		_, err = z.Write(c.Text)
	}
	if err == nil {
		err = z.Close()
	}
	if err != nil {
		log.WithError(err).Error("compressing a response failed")
		return
	}
	c.zipped = buf.Bytes()
}
