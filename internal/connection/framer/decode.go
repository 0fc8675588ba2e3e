package framer

import (
	"bytes"
	"encoding"
	"reflect"
	"sync"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"
)

// sliceStep bounds the elements of a slice that are allocated before they are read, so
// that a wrong length does not allocate memory.
const sliceStep = 64

// Unmarshal decodes the msgpack encoding of a message that another build may have
// written. The elements of an array beyond the fields of a struct or the length of an
// array are skipped, and missing ones leave zero values, as do the fields of a value that
// is nil. Bytes that follow the value are ignored. All that instances send to each other
// is decoded by Unmarshal.
func Unmarshal(data []byte, value any) error { return unmarshalSequence(data, value) }

// unmarshalSequence decodes values that follow each other. Values that are missing at the
// end, except the first one, keep what they hold.
func unmarshalSequence(data []byte, values ...any) error {
	reader := bytes.NewReader(data)
	d := msgpack.GetDecoder()
	defer msgpack.PutDecoder(d)
	d.Reset(reader)
	d.UsePreallocateValues(true)
	for i, value := range values {
		v := reflect.ValueOf(value)
		if v.Kind() != reflect.Pointer || v.IsNil() {
			return trace.BadParameter("decoding into %T, expected a pointer", value)
		}
		if i > 0 && reader.Len() == 0 {
			return nil
		}
		if err := decodeValue(d, v.Elem()); err != nil {
			return err
		}
	}
	return nil
}

// decodeValue decodes the next value into v.
func decodeValue(d *msgpack.Decoder, v reflect.Value) error {
	switch shapeOf(v.Type()) {
	case structShape:
		return decodeStruct(d, v)
	case sliceShape:
		return decodeSlice(d, v)
	case arrayShape:
		return decodeArray(d, v)
	}
	return trace.Wrap(d.DecodeValue(v))
}

// decodeStruct decodes an array, or a map from the names of fields, into a struct.
func decodeStruct(d *msgpack.Decoder, v reflect.Value) error {
	code, err := d.PeekCode()
	if err != nil {
		return trace.Wrap(err)
	}
	if isMap(code) {
		return trace.Wrap(d.DecodeValue(v))
	}
	n, err := d.DecodeArrayLen()
	if err != nil {
		return trace.Wrap(err)
	}
	v.SetZero()
	read := 0
	for i := 0; i < v.NumField() && read < n; i++ {
		if !v.Type().Field(i).IsExported() {
			continue
		}
		if err := decodeValue(d, v.Field(i)); err != nil {
			return err
		}
		read++
	}
	return skip(d, n-read)
}

func isMap(code byte) bool { return code&0xf0 == 0x80 || code == 0xde || code == 0xdf }

func decodeSlice(d *msgpack.Decoder, v reflect.Value) error {
	n, err := d.DecodeArrayLen()
	if err != nil {
		return trace.Wrap(err)
	}
	v.SetZero()
	if n < 0 {
		return nil
	}
	v.Set(reflect.MakeSlice(v.Type(), 0, min(n, sliceStep)))
	for i := range n {
		v.Set(reflect.Append(v, reflect.Zero(v.Type().Elem())))
		if err := decodeValue(d, v.Index(i)); err != nil {
			return err
		}
	}
	return nil
}

func decodeArray(d *msgpack.Decoder, v reflect.Value) error {
	n, err := d.DecodeArrayLen()
	if err != nil {
		return trace.Wrap(err)
	}
	v.SetZero()
	read := 0
	for ; read < min(n, v.Len()); read++ {
		if err := decodeValue(d, v.Index(read)); err != nil {
			return err
		}
	}
	return skip(d, n-read)
}

// skip passes over n values.
func skip(d *msgpack.Decoder, n int) error {
	for range n {
		if err := d.Skip(); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// shape says how a type is decoded.
type shape int

const (
	// plainShape is any type whose encoding has no array of fields.
	plainShape shape = iota
	// structShape is a struct that is encoded as an array of its fields.
	structShape
	// sliceShape and arrayShape have elements of another shape than plainShape.
	sliceShape
	arrayShape
)

// arrayOption is the tag that marks a struct as encoded as an array.
const arrayOption = ",as_array"

// shapes caches the shape of each type.
var shapes sync.Map

func shapeOf(t reflect.Type) shape {
	if known, ok := shapes.Load(t); ok {
		return known.(shape)
	}
	s := findShape(t)
	shapes.Store(t, s)
	return s
}

func findShape(t reflect.Type) shape {
	p := reflect.PointerTo(t)
	if p.Implements(reflect.TypeFor[msgpack.CustomDecoder]()) || p.Implements(reflect.TypeFor[msgpack.Unmarshaler]()) ||
		p.Implements(reflect.TypeFor[encoding.BinaryUnmarshaler]()) || p.Implements(reflect.TypeFor[encoding.TextUnmarshaler]()) {
		return plainShape
	}
	switch t.Kind() {
	case reflect.Struct:
		if f, ok := t.FieldByName("_msgpack"); ok && f.Tag.Get("msgpack") == arrayOption {
			return structShape
		}
	case reflect.Slice:
		if shapeOf(t.Elem()) != plainShape {
			return sliceShape
		}
	case reflect.Array:
		// Arrays of a fixed length grow with new builds even where the elements are plain.
		if t.Elem().Kind() != reflect.Uint8 {
			return arrayShape
		}
	}
	return plainShape
}
