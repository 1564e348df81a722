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

// productionFile holds a FileDescriptorSet with the record descriptors of the build that
// deploy/system.toml names as production.
const productionFile = "testdata/production.binpb"

// unknownField is a field number that no build uses.
const unknownField = 19_999

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

// currentType returns this build's type of a message.
func currentType(t *testing.T, name protoreflect.FullName) protoreflect.MessageType {
	t.Helper()
	found, err := protoregistry.GlobalTypes.FindMessageByName(name)
	if err != nil {
		t.Fatalf("%s is missing, but the production build writes it: %v", name, err)
	}
	return found
}

// TestFieldsOfProductionStand checks that no field of the production build was removed, renumbered, renamed
// or given another type, since both builds run side by side during an upgrade.
func TestFieldsOfProductionStand(t *testing.T) {
	for _, message := range productionMessages(t) {
		fields := currentType(t, message.FullName()).Descriptor().Fields()
		for i := range message.Fields().Len() {
			old := message.Fields().Get(i)
			current := fields.ByNumber(old.Number())
			if current == nil || current.Name() != old.Name() || current.Kind() != old.Kind() || current.Cardinality() != old.Cardinality() || current.IsMap() != old.IsMap() {
				t.Errorf("%s: field %d (%s in the production build) was removed or changed", message.FullName(), old.Number(), old.Name())
			}
		}
	}
}

// TestRecordsSurviveProduction checks that a record of this build loses no field when the production build
// reads it and writes it back, including fields that the production build does not know.
func TestRecordsSurviveProduction(t *testing.T) {
	for _, message := range productionMessages(t) {
		written := currentType(t, message.FullName()).New()
		fill(written, 3)
		content := encode(t, written.Interface())

		inProduction := dynamicpb.NewMessage(message)
		decode(t, content, inProduction)
		returned := currentType(t, message.FullName()).New().Interface()
		decode(t, encode(t, proto.Clone(inProduction)), returned)
		if !proto.Equal(written.Interface(), returned) {
			t.Errorf("%s: wrote %v, got %v after the production build rewrote it", message.FullName(), written, returned)
		}
	}
}

// TestRecordsOfALaterBuildAreKept checks that this build keeps fields that a later build adds.
func TestRecordsOfALaterBuildAreKept(t *testing.T) {
	_ = doorstepv1.Configuration{}
	for _, message := range productionMessages(t) {
		later := currentType(t, message.FullName()).New()
		fill(later, 3)
		later.SetUnknown(protoreflect.RawFields{0xfa, 0xe1, 0x09, 0x01, 'x'})
		read := currentType(t, message.FullName()).New().Interface()
		decode(t, encode(t, later.Interface()), read)
		if got := proto.Clone(read).ProtoReflect().GetUnknown(); len(got) == 0 {
			t.Errorf("%s: unknown field %d was lost", message.FullName(), unknownField)
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

// fill sets every field of a message and of its nested messages, up to the given depth.
func fill(message protoreflect.Message, depth int) {
	if depth == 0 {
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
				fill(value.Message(), depth-1)
			}
			entries.Set(scalar(field.MapKey()).MapKey(), elementValue(field.MapValue(), value))
		case field.IsList():
			list := message.Mutable(field).List()
			value := list.NewElement()
			if field.Message() != nil {
				fill(value.Message(), depth-1)
			}
			list.Append(elementValue(field, value))
		case field.Message() != nil:
			fill(message.Mutable(field).Message(), depth-1)
		default:
			message.Set(field, scalar(field))
		}
	}
}

// elementValue returns filled if the field holds messages, and a scalar of the field's kind otherwise.
func elementValue(field protoreflect.FieldDescriptor, filled protoreflect.Value) protoreflect.Value {
	if field.Message() != nil {
		return filled
	}
	return scalar(field)
}

// scalar returns a non-zero value of the field's kind.
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
		panic("scalar called for a message field")
	default:
		return protoreflect.ValueOfInt64(7)
	}
}
