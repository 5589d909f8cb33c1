package node

import (
	"net/http"
	"net/textproto"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// hopByHopHeaders are those that apply to one connection and are not forwarded (RFC 9110,
// section 7.6.1).
var hopByHopHeaders = map[string]bool{
	"Connection":          true,
	"Expect":              true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

func encodeHeaders(header http.Header, excluded map[string]bool) []*wire.Header {
	connectionHeaders := connectionNames(header)
	encoded := make([]*wire.Header, 0, len(header))
	for name, values := range header {
		if hopByHopHeaders[name] || excluded[name] || connectionHeaders[name] {
			continue
		}
		encoded = append(encoded, &wire.Header{Name: proto.String(name), Values: values})
	}
	return encoded
}

// connectionNames returns the headers that the Connection header declares hop-by-hop.
func connectionNames(header http.Header) map[string]bool {
	var names map[string]bool
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			if names == nil {
				names = map[string]bool{}
			}
			names[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return names
}

func decodeHeaders(target http.Header, headers []*wire.Header) {
	for _, header := range headers {
		if name := http.CanonicalHeaderKey(header.GetName()); !hopByHopHeaders[name] {
			target[name] = header.GetValues()
		}
	}
}
