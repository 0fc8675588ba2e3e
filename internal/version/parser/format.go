package parser

import (
	"regexp"
	"strconv"
	"strings"
	"time"
)

// valueFormat is the textual format of a value. Every value is stored as a
// float64, which is exact for all bounds in Records: a duration in nanoseconds, a
// size in bytes, a flag as 0 or 1, a choice as its index.
type valueFormat struct {
	// name is the name of the format on the reference page.
	name string
	// hint describes how to write a value.
	hint string
	// read parses a value. It returns false when the text is not valid.
	read func(text string) (float64, bool)
	// write formats a value as in the tree.
	write func(value float64) string
}

// The patterns bound the number of digits: a float64 holds every whole number of 15
// digits exactly.
var (
	countPattern    = regexp.MustCompile(`^[0-9]{1,15}$`)
	decimalPattern  = regexp.MustCompile(`^[0-9]{1,12}(\.[0-9]{1,9})?$`)
	sizePattern     = regexp.MustCompile(`^([0-9]{1,9})(B|KiB|MiB)$`)
	durationPattern = regexp.MustCompile(`^([0-9]+(\.[0-9]+)?(us|ms|s|m|h))+$`)
)

var (
	durationFormat = &valueFormat{"duration", "a number with a unit, such as 250ms, 5s or 2m", readDuration, writeDuration}
	countFormat    = &valueFormat{"count", "a whole number without a unit, such as 64", readCount, writeNumber}
	decimalFormat  = &valueFormat{"per second", "a number without a unit, such as 2000", readDecimal, writeNumber}
	ratioFormat    = &valueFormat{"ratio", "a number from 0 to 1, such as 0.02", readDecimal, writeNumber}
	sizeFormat     = &valueFormat{"size", "a whole number with B, KiB or MiB, such as 64KiB", readSize, writeSize}
	flagFormat     = choiceFormat("flag", "false", "true")
	priorityFormat = choiceFormat("priority", "urgent", "normal", "queued")
)

func readDuration(text string) (float64, bool) {
	if !durationPattern.MatchString(text) {
		return 0, false
	}
	v, err := time.ParseDuration(text)
	return float64(v), err == nil
}

// writeDuration formats a duration without trailing units that are zero: 2m
// instead of 2m0s.
func writeDuration(value float64) string {
	text := time.Duration(value).String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

func readCount(text string) (float64, bool) {
	if !countPattern.MatchString(text) {
		return 0, false
	}
	return readDecimal(text)
}

// readDecimal reads a number. A whole number may have 15 digits, the integer part of
// a decimal only 12.
func readDecimal(text string) (float64, bool) {
	if !decimalPattern.MatchString(text) && !countPattern.MatchString(text) {
		return 0, false
	}
	v, err := strconv.ParseFloat(text, 64)
	return v, err == nil
}

func writeNumber(value float64) string {
	return strconv.FormatFloat(value, 'f', -1, 64)
}

var sizeUnits = map[string]float64{"B": 1, "KiB": 1 << 10, "MiB": 1 << 20}

func readSize(text string) (float64, bool) {
	parts := sizePattern.FindStringSubmatch(text)
	if parts == nil {
		return 0, false
	}
	v, ok := readDecimal(parts[1])
	return v * sizeUnits[parts[2]], ok
}

func writeSize(value float64) string {
	for _, name := range []string{"MiB", "KiB"} {
		unit := sizeUnits[name]
		if value >= unit && int64(value)%int64(unit) == 0 {
			return writeNumber(value/unit) + name
		}
	}
	return writeNumber(value) + "B"
}

// choiceFormat returns a format whose values are the indexes of names.
func choiceFormat(name string, names ...string) *valueFormat {
	return &valueFormat{
		name: name,
		hint: "one of " + strings.Join(names, ", "),
		read: func(text string) (float64, bool) {
			for i, v := range names {
				if v == text {
					return float64(i), true
				}
			}
			return 0, false
		},
		write: func(value float64) string { return names[int(value)] },
	}
}
