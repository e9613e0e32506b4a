package admit

import "bytes"

const (
	// defaultMaxDepth and defaultMaxValues bound a JSON body. The largest job has 256
	// steps with up to 32,640 references between them; a configuration of 1,650 queues
	// has some 25,000 values and 3,300 objects.
	defaultMaxDepth  = 16
	defaultMaxValues = 100_000
	// valuesPerContainer is the divisor of the number of values that may be objects or
	// lists, which take the most memory: 16,666 by default.
	valuesPerContainer = 6
	// containerBytes and valueBytes bound what decoding builds for an object or a
	// list, and for any other value. The largest decoded struct, a step, and its copy
	// in this project's types take 500 bytes.
	containerBytes = 512
	valueBytes     = 32
)

// shape is the number of values of a JSON text.
type shape struct{ values, containers int }

// decodedSize bounds the memory that decoding the text takes.
func (sh shape) decodedSize() int64 {
	return int64(sh.containers)*containerBytes + int64(sh.values)*valueBytes
}

// measure counts the values of a JSON text without decoding it, and reports whether
// they are within the limits. It accepts texts that are not valid JSON; the decoder
// checks them before it builds a value.
func (pr *Process) measure(text []byte) (shape, bool) {
	return measure(text, pr.settings.MaxDepth, pr.settings.MaxValues)
}

// CheckJSON reports whether a JSON text from another system is within the default
// limits of a body.
func CheckJSON(text []byte) bool {
	_, ok := measure(text, defaultMaxDepth, defaultMaxValues)
	return ok
}

func measure(text []byte, maxDepth, maxValues int) (shape, bool) {
	var sh shape
	depth := 0
	maxContainers := maxValues / valuesPerContainer
	for pos := 0; pos < len(text); pos++ {
		switch text[pos] {
		case '"':
			end := stringEnd(text[pos+1:])
			if end < 0 {
				return sh, true
			}
			pos += end + 1
		case '{', '[':
			sh.values++
			sh.containers++
			if depth++; depth > maxDepth || sh.containers > maxContainers {
				return sh, false
			}
		case '}', ']':
			depth--
		case ',':
			if sh.values++; sh.values > maxValues {
				return sh, false
			}
		}
	}
	return sh, true
}

// stringEnd returns the position of the quotation mark that ends a string, -1 if
// there is none.
func stringEnd(text []byte) int {
	for pos := 0; ; {
		end := bytes.IndexByte(text[pos:], '"')
		if end < 0 {
			return -1
		}
		end += pos
		slashes := 0
		for slashes < end && text[end-1-slashes] == '\\' {
			slashes++
		}
		if slashes%2 == 0 {
			return end
		}
		pos = end + 1
	}
}
