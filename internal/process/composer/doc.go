// Package composer builds an instance that runs on a platform of its users, from
// the other packages, and runs it until it has shut down.
//
// The package makes no decisions of its own and knows no names of the platform.
// The platform's data arrives through the function fields of Options, in the types
// of this project. The directory is the HTTP service that tells clients the
// addresses of instances; it is one of Options.Handlers.
package composer
