package node

import (
	"net/http"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// hopByHop headers belong to one connection and are not passed on (RFC 9110, section 7.6.1).
var hopByHop = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

func encodeHeaders(header http.Header) []*wire.Header {
	encoded := make([]*wire.Header, 0, len(header))
	for name, values := range header {
		if !hopByHop[name] {
			encoded = append(encoded, &wire.Header{Name: name, Values: values})
		}
	}
	return encoded
}

func decodeHeaders(target http.Header, headers []*wire.Header) {
	for _, header := range headers {
		if name := http.CanonicalHeaderKey(header.GetName()); !hopByHop[name] {
			target[name] = header.GetValues()
		}
	}
}
