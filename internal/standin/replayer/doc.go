// Package replayer replays written sessions of decisions in tests.
//
// A session is a text with one event a line, "TIME VERB ARGUMENTS => RESULT",
// and comments that begin with "#". Replaying it runs the events and writes the
// results anew, so the text is both the script and the golden file.
package replayer
