// Package replayer replays session files in tests.
//
// A session file has one event per line, "TIME VERB ARGUMENTS => RESULT", and
// comments that begin with "#". TIME is the offset from Epoch as a Go duration. A
// replay runs the events and writes their results again, so the file is both the
// input and the golden file of the test.
package replayer
