//go:build review

// Command stage2 plays the scripted cases of the second review. It starts gateway hosts as
// separate processes between stand-ins of its own: the platform's store, upstreams and clients.
//
// It exits with 1 if the rule of the case was broken, with 0 if it held, and with 2 if the case
// could not be played.
package main
