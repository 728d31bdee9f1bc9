// Package examples embeds the configuration documents of the example deployments,
// so that programs can use them from any working directory. Document returns them.
package examples

import (
	"embed"

	"github.com/zeebo/errs"
)

//go:embed crested-thread/config.jsonc halvorsen/config.jsonc
var files embed.FS

// Document returns the text of the configuration document of a deployment, which is
// "crested-thread" or "halvorsen"; for other names it returns an error.
func Document(deployment string) ([]byte, error) {
	text, err := files.ReadFile(deployment + "/config.jsonc")
	if err != nil {
		return nil, errs.New("there is no example deployment %q", deployment)
	}
	return text, nil
}
