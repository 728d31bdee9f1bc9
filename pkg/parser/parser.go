// Package parser reads the operators' configuration document, which is JSON
// with comments, and checks every part of it.
package parser

import (
	"fmt"

	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/decoder"
)

// MaxDocumentBytes bounds a document's text, comments included. Hosts give a
// whole document to each other in one message.
const MaxDocumentBytes = 4 << 20

// Fault is one thing wrong with a document, with its line and path.
type Fault = decoder.Fault

// ErrFaults holds all faults of one document, in the order of their places.
type ErrFaults = decoder.ErrFaults

// Parse reads and checks a document. Its error is an *ErrFaults that tells all
// faults at once. Unknown and repeated fields are faults.
func Parse(b []byte) (*config.Document, error) {
	d := decoder.New(b)
	if len(b) > MaxDocumentBytes {
		d.AddFault("", fmt.Sprintf("the document has %d bytes; at most %d are allowed", len(b), MaxDocumentBytes))
		return nil, d.Err()
	}
	doc := &config.Document{}
	if d.Decode(doc) {
		c := newCheck(d, doc)
		c.run()
	}
	if err := d.Err(); err != nil {
		return nil, err
	}
	return doc, nil
}
