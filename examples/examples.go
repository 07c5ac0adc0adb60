// Package examples holds the example configurations, for tests and experiments
// that run them.
package examples

import "embed"

// Files holds one folder of configuration files for each deployment.
//
//go:embed vale-do-sousa/*.toml slnecne-bodky/*.toml
var Files embed.FS

// Deployments are the folders of Files.
var Deployments = []string{"vale-do-sousa", "slnecne-bodky"}
