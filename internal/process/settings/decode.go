package settings

import (
	"reflect"
	"strings"

	"github.com/go-viper/mapstructure/v2"
)

// decoder rejects unknown fields and values of the wrong type.
func decoder(into any) *mapstructure.DecoderConfig {
	return &mapstructure.DecoderConfig{
		Result:      into,
		TagName:     "koanf",
		ErrorUnused: true,
	}
}

// tagName returns the field's name in the settings file, for use in errors.
func tagName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("koanf"), ",")
	return name
}
