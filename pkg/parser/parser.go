// Package parser decodes and validates the operators' configuration document, which
// is JSON with comments and trailing commas. Callers use Parse.
package parser

import (
	"fmt"

	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/decoder"
)

// MaxDocumentBytes bounds a document's text, with its comments. Hosts send a whole
// document to each other in one message.
const MaxDocumentBytes = 4 << 20

// Fault is one error in a document, with its line and path.
type Fault = decoder.Fault

// ErrFaults holds the faults of one document, in the order of their positions.
type ErrFaults = decoder.ErrFaults

// Parse decodes and validates a document. The error is an *ErrFaults with all
// faults, up to decoder.MaxFaults. Unknown and repeated fields are faults.
func Parse(b []byte) (*config.Document, error) {
	d := decoder.New(b)
	if len(b) > MaxDocumentBytes {
		d.AddFault("", fmt.Sprintf("the document has %d bytes; at most %d are allowed", len(b), MaxDocumentBytes))
		return nil, d.Err()
	}
	doc := &config.Document{}
	if d.Decode(doc) {
		c := newDocumentCheck(d, doc)
		c.run()
	}
	if err := d.Err(); err != nil {
		return nil, err
	}
	return doc, nil
}
