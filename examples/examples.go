// Package examples embeds the example configurations for tests and experiments.
package examples

import "embed"

// Files contains one folder of configuration files for each deployment.
//
//go:embed vale-do-sousa/*.toml slnecne-bodky/*.toml
var Files embed.FS

// Deployments lists the folders in Files.
var Deployments = []string{"vale-do-sousa", "slnecne-bodky"}
