// Package composer builds an instance from the other packages and runs it on the
// users' platform until the instance has shut down.
//
// The package makes no decisions of its own and contains no header, field or path
// names of the platform. The platform's data arrives through the function fields of
// Options, in the types of this project. The directory is the HTTP service that
// tells clients the addresses of instances; it is one of Options.Handlers.
package composer
