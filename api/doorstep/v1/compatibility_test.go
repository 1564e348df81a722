package doorstepv1_test

import (
	"os"
	"testing"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/dynamicpb"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
)

// productionFile holds the descriptors of the records as the build has them that deploy/system.toml names
// as production: a FileDescriptorSet, taken from that build's registry.
const productionFile = "testdata/production.binpb"

// laterField is the number of a field that no build has yet.
const laterField = 19_999

func productionMessages(t *testing.T) []protoreflect.MessageDescriptor {
	t.Helper()
	content, err := os.ReadFile(productionFile)
	if err != nil {
		t.Fatal(err)
	}
	set := &descriptorpb.FileDescriptorSet{}
	if err := proto.Unmarshal(content, set); err != nil {
		t.Fatal(err)
	}
	files, err := protodesc.NewFiles(set)
	if err != nil {
		t.Fatal(err)
	}
	var messages []protoreflect.MessageDescriptor
	files.RangeFiles(func(file protoreflect.FileDescriptor) bool {
		for i := range file.Messages().Len() {
			messages = append(messages, file.Messages().Get(i))
		}
		return true
	})
	if len(messages) == 0 {
		t.Fatal("the production build has no messages")
	}
	return messages
}

// today returns this build's message of a name.
func today(t *testing.T, name protoreflect.FullName) protoreflect.MessageType {
	t.Helper()
	found, err := protoregistry.GlobalTypes.FindMessageByName(name)
	if err != nil {
		t.Fatalf("%s: nodes of the production build still write it: %v", name, err)
	}
	return found
}

// TestFieldsOfProductionStand: while builds run side by side, a field has one meaning and one number.
func TestFieldsOfProductionStand(t *testing.T) {
	for _, message := range productionMessages(t) {
		fields := today(t, message.FullName()).Descriptor().Fields()
		for i := range message.Fields().Len() {
			was := message.Fields().Get(i)
			is := fields.ByNumber(was.Number())
			if is == nil || is.Name() != was.Name() || is.Kind() != was.Kind() || is.Cardinality() != was.Cardinality() || is.IsMap() != was.IsMap() {
				t.Errorf("%s has another field %d than the production build, which has %s", message.FullName(), was.Number(), was.Name())
			}
		}
	}
}

// TestRecordsSurviveProduction: a record that this build writes, which the production build reads, changes
// and writes back, holds what this build put there, also in fields that the other does not know.
func TestRecordsSurviveProduction(t *testing.T) {
	for _, message := range productionMessages(t) {
		written := today(t, message.FullName()).New()
		fill(written, 3)
		content := encode(t, written.Interface())

		elsewhere := dynamicpb.NewMessage(message)
		decode(t, content, elsewhere)
		back := today(t, message.FullName()).New().Interface()
		decode(t, encode(t, proto.Clone(elsewhere)), back)
		if !proto.Equal(written.Interface(), back) {
			t.Errorf("%s: written %v, back from the production build %v", message.FullName(), written, back)
		}
	}
}

// TestRecordsOfALaterBuildAreKept: this build in its turn keeps what a later one adds.
func TestRecordsOfALaterBuildAreKept(t *testing.T) {
	_ = doorstepv1.Configuration{}
	for _, message := range productionMessages(t) {
		later := today(t, message.FullName()).New()
		fill(later, 3)
		later.SetUnknown(protoreflect.RawFields{0xfa, 0xe1, 0x09, 0x01, 'x'})
		read := today(t, message.FullName()).New().Interface()
		decode(t, encode(t, later.Interface()), read)
		if got := proto.Clone(read).ProtoReflect().GetUnknown(); len(got) == 0 {
			t.Errorf("%s: field %d of a later build is lost", message.FullName(), laterField)
		}
	}
}

func encode(t *testing.T, message proto.Message) []byte {
	t.Helper()
	content, err := proto.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	return content
}

func decode(t *testing.T, content []byte, to proto.Message) {
	t.Helper()
	if err := proto.Unmarshal(content, to); err != nil {
		t.Fatal(err)
	}
}

// fill sets every field of a message, and those of the messages in it, so many levels deep.
func fill(message protoreflect.Message, levels int) {
	if levels == 0 {
		return
	}
	fields := message.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		switch {
		case field.IsMap():
			entries := message.Mutable(field).Map()
			value := entries.NewValue()
			if field.MapValue().Message() != nil {
				fill(value.Message(), levels-1)
			}
			entries.Set(scalar(field.MapKey()).MapKey(), valueOr(field.MapValue(), value))
		case field.IsList():
			list := message.Mutable(field).List()
			value := list.NewElement()
			if field.Message() != nil {
				fill(value.Message(), levels-1)
			}
			list.Append(valueOr(field, value))
		case field.Message() != nil:
			fill(message.Mutable(field).Message(), levels-1)
		default:
			message.Set(field, scalar(field))
		}
	}
}

// valueOr returns a message that was filled, or a scalar of the field's kind.
func valueOr(field protoreflect.FieldDescriptor, filled protoreflect.Value) protoreflect.Value {
	if field.Message() != nil {
		return filled
	}
	return scalar(field)
}

// scalar returns a value of a field's kind other than its zero value.
func scalar(field protoreflect.FieldDescriptor) protoreflect.Value {
	switch field.Kind() {
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(true)
	case protoreflect.StringKind:
		return protoreflect.ValueOfString("text")
	case protoreflect.BytesKind:
		return protoreflect.ValueOfBytes([]byte("bytes"))
	case protoreflect.EnumKind:
		return protoreflect.ValueOfEnum(1)
	case protoreflect.Int32Kind, protoreflect.Sint32Kind, protoreflect.Sfixed32Kind:
		return protoreflect.ValueOfInt32(7)
	case protoreflect.Uint32Kind, protoreflect.Fixed32Kind:
		return protoreflect.ValueOfUint32(7)
	case protoreflect.Uint64Kind, protoreflect.Fixed64Kind:
		return protoreflect.ValueOfUint64(7)
	case protoreflect.FloatKind:
		return protoreflect.ValueOfFloat32(7)
	case protoreflect.DoubleKind:
		return protoreflect.ValueOfFloat64(7)
	case protoreflect.MessageKind, protoreflect.GroupKind:
		panic("a message is no scalar")
	default:
		return protoreflect.ValueOfInt64(7)
	}
}
