package framer

import (
	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"
)

// Kind determines the type of a message's body.
type Kind uint8

// Message is the payload of one frame.
type Message struct {
	_msgpack struct{} `msgpack:",as_array"`

	Kind Kind
	// ID matches a response to its request. It is 0 if no response is expected.
	ID uint64
	// Body is the msgpack encoding of the type that belongs to Kind.
	Body msgpack.RawMessage
}

// Encode returns a message with the msgpack encoding of value as its body.
func Encode(kind Kind, id uint64, value any) (Message, error) {
	body, err := msgpack.Marshal(value)
	if err != nil {
		return Message{}, trace.Wrap(err)
	}
	return Message{Kind: kind, ID: id, Body: body}, nil
}

// Decode decodes the body into value. An error is a Refusal.
func (m Message) Decode(value any) error {
	if err := Unmarshal(m.Body, value); err != nil {
		return &Refusal{Cause: Undecodable}
	}
	return nil
}
