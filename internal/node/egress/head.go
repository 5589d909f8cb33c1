package egress

import (
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// The status codes that a response may have (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// statusDigits is the number of digits of a status code.
const statusDigits = 3

// transferEncodingField is the name of the field in lower case.
const transferEncodingField = "transfer-encoding"

var (
	errStatusLine = errors.New("malformed status line")
	errFieldLine  = errors.New("malformed header field")
	errFraming    = errors.New("transfer encoding in a response of HTTP/1.0")
)

// headState is the part of a response head that a headScanner expects next.
type headState int

const (
	inVersion headState = iota
	inStatus
	afterStatus
	inReason
	atLineStart
	inName
	inValue
	atLineFeed
	atLastLineFeed
	headEnded
)

// headScanner checks the syntax of a response head while it is read. http.ReadResponse accepts
// heads that are no HTTP/1.x: a status code below 100, white space in the name of a field, which
// hides a Content-Length, and a field that continues the previous line.
type headScanner struct {
	state headState
	// position counts the bytes of the current part: of the version, the status or the name.
	position int
	status   int
	// isHTTP10 is set in a response of HTTP/1.0.
	isHTTP10 bool
	// matched is the number of bytes of the current name that equal transferEncodingField, or -1.
	matched int
}

// scan checks the next bytes. Bytes behind the end of the head are not checked.
func (s *headScanner) scan(data []byte) error {
	for _, b := range data {
		if s.state == headEnded {
			return nil
		}
		if err := s.next(b); err != nil {
			return err
		}
	}
	return nil
}

func (s *headScanner) next(b byte) error {
	switch s.state {
	case inVersion:
		return s.nextOfVersion(b)
	case inStatus:
		return s.nextOfStatus(b)
	case afterStatus:
		return s.nextAfterStatus(b)
	case inReason:
		return s.nextOfText(b, errStatusLine)
	case atLineStart:
		return s.beginLine(b)
	case inName:
		return s.nextOfName(b)
	case inValue:
		return s.nextOfText(b, errFieldLine)
	case atLineFeed:
		return s.endLine(b, atLineStart)
	case atLastLineFeed:
		return s.endLine(b, headEnded)
	case headEnded:
	}
	return nil
}

// nextOfVersion checks "HTTP/1.x ".
func (s *headScanner) nextOfVersion(b byte) error {
	position := s.position
	s.position++
	switch {
	case position < len(responsePrefix):
		if b != responsePrefix[position] {
			return errStatusLine
		}
	case position == len(responsePrefix):
		if !isDigit(b) {
			return errStatusLine
		}
		s.isHTTP10 = b == '0'
	case b == ' ':
		s.state, s.position = inStatus, 0
	default:
		return errStatusLine
	}
	return nil
}

func (s *headScanner) nextOfStatus(b byte) error {
	if !isDigit(b) {
		return errStatusLine
	}
	s.status = 10*s.status + int(b-'0')
	s.position++
	if s.position < statusDigits {
		return nil
	}
	if s.status < minStatus || s.status > maxStatus {
		return errStatusLine
	}
	s.state = afterStatus
	return nil
}

func (s *headScanner) nextAfterStatus(b byte) error {
	if b == ' ' {
		s.state = inReason
		return nil
	}
	if b == '\r' || b == '\n' {
		return s.nextOfText(b, errStatusLine)
	}
	return errStatusLine
}

// nextOfText checks a reason phrase or the value of a field up to the end of the line.
func (s *headScanner) nextOfText(b byte, malformed error) error {
	switch {
	case b == '\n':
		s.state = atLineStart
	case b == '\r':
		s.state = atLineFeed
	case !isTextByte(b):
		return malformed
	}
	return nil
}

func (s *headScanner) beginLine(b byte) error {
	switch b {
	case '\n':
		s.state = headEnded
		return nil
	case '\r':
		s.state = atLastLineFeed
		return nil
	}
	s.state, s.position, s.matched = inName, 0, 0
	return s.nextOfName(b)
}

func (s *headScanner) nextOfName(b byte) error {
	if b == ':' && s.position > 0 {
		s.state = inValue
		if s.isHTTP10 && s.matched == len(transferEncodingField) {
			return errFraming
		}
		return nil
	}
	if !isTokenByte(b) {
		return errFieldLine
	}
	s.position++
	if s.matched >= 0 && s.matched < len(transferEncodingField) && toLower(b) == transferEncodingField[s.matched] {
		s.matched++
	} else {
		s.matched = -1
	}
	return nil
}

func (s *headScanner) endLine(b byte, next headState) error {
	if b != '\n' {
		return errFieldLine
	}
	s.state = next
	return nil
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

func isLetter(b byte) bool { return 'A' <= b && b <= 'Z' || 'a' <= b && b <= 'z' }

// isTokenByte reports whether a byte may stand in the name of a field (RFC 9110, section 5.6.2).
func isTokenByte(b byte) bool {
	return isDigit(b) || isLetter(b) || strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}

// isTextByte reports whether a byte may stand in the value of a field or in a reason phrase: any
// but a control character (RFC 9110, section 5.5).
func isTextByte(b byte) bool {
	const deleteCharacter = 0x7f
	return b >= ' ' && b != deleteCharacter || b == '\t'
}

func toLower(b byte) byte {
	if 'A' <= b && b <= 'Z' {
		return b + ('a' - 'A')
	}
	return b
}

// checkTrailer returns an error for a trailer field with a name or a value that no field may have.
func checkTrailer(trailer http.Header) error {
	for name, values := range trailer {
		if name == "" || !consistsOf(name, isTokenByte) {
			return errFieldLine
		}
		for _, value := range values {
			if !consistsOf(value, isTextByte) {
				return errFieldLine
			}
		}
	}
	return nil
}

func consistsOf(text string, allowed func(byte) bool) bool {
	for i := range len(text) {
		if !allowed(text[i]) {
			return false
		}
	}
	return true
}
