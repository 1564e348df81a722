package settings

import (
	"reflect"
	"strings"

	"github.com/go-viper/mapstructure/v2"
)

// decoder refuses unknown fields and values of another type.
func decoder(into any) *mapstructure.DecoderConfig {
	return &mapstructure.DecoderConfig{
		Result:      into,
		TagName:     "koanf",
		ErrorUnused: true,
	}
}

// tagName makes faults name fields as the file does.
func tagName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("koanf"), ",")
	return name
}
