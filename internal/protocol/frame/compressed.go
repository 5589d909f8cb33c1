package frame

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// minCompressedBytes is the size from which a message is compressed.
const minCompressedBytes = 4 << 10

var (
	compressors = sync.Pool{New: func() any {
		w, err := flate.NewWriter(io.Discard, flate.DefaultCompression)
		if err != nil {
			panic(err) // unreachable: the level is valid
		}
		return w
	}}
	decompressors = sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)) }}
)

// EncodeCompressed is like Encode for a receiver that accepts compressed messages: a long message
// is compressed.
func EncodeCompressed(message *wire.Envelope) ([]byte, error) {
	encoded, err := proto.Marshal(message)
	if err != nil {
		return nil, errors.Wrap(err, "encode message")
	}
	if len(encoded) < minCompressedBytes {
		return Encode(message)
	}
	var compressed bytes.Buffer
	if err := compress(&compressed, encoded); err != nil {
		return nil, errors.Wrap(err, "compress message")
	}
	var buffer bytes.Buffer
	_, err = protodelim.MarshalTo(&buffer, &wire.Envelope{Body: &wire.Envelope_Compressed{Compressed: &wire.Compressed{
		Data: compressed.Bytes(),
		Size: uint32(len(encoded)), //nolint:gosec // a message is far smaller
	}}})
	return buffer.Bytes(), errors.Wrap(err, "encode message")
}

func compress(target io.Writer, data []byte) error {
	compressor := compressors.Get().(*flate.Writer)
	defer compressors.Put(compressor)
	compressor.Reset(target)
	if _, err := compressor.Write(data); err != nil {
		return err
	}
	return compressor.Close()
}

// AcceptCompressed makes Receive and ReceiveAny decompress messages. Otherwise a compressed
// message is ErrMalformed: its sender decides how much memory it takes.
func (c *Conn) AcceptCompressed() { c.acceptsCompressed = true }

// decompress replaces a compressed message by the one that it holds.
func (c *Conn) decompress(message *wire.Envelope) error {
	compressed := message.GetCompressed()
	size := compressed.GetSize()
	if !c.acceptsCompressed || size > MaxMessageBytes {
		return errors.WithMessagef(ErrMalformed, "compressed message of %d bytes is not accepted", size)
	}
	// The decoded message takes as much again.
	if err := c.acquire(2 * int(size)); err != nil {
		return err
	}
	encoded, err := inflate(compressed.GetData(), int(size))
	if err != nil {
		return errors.WithMessage(ErrMalformed, err.Error())
	}
	message.Reset()
	if err := proto.Unmarshal(encoded, message); err != nil {
		return errors.WithMessage(ErrMalformed, err.Error())
	}
	if message.GetCompressed() != nil {
		return errors.WithMessage(ErrMalformed, "message is compressed twice")
	}
	return nil
}

// inflate returns the size bytes that the data holds. It returns an error if there are fewer or
// more.
func inflate(data []byte, size int) ([]byte, error) {
	reader := decompressors.Get().(io.ReadCloser)
	defer decompressors.Put(reader)
	if err := reader.(flate.Resetter).Reset(bytes.NewReader(data), nil); err != nil {
		return nil, err
	}
	encoded := make([]byte, size)
	if _, err := io.ReadFull(reader, encoded); err != nil {
		return nil, toUnexpectedEOF(err)
	}
	if n, err := reader.Read(make([]byte, 1)); n != 0 || !errors.Is(err, io.EOF) {
		return nil, errors.New("compressed message is longer than its size")
	}
	return encoded, nil
}
