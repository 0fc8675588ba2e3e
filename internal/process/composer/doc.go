// Package composer puts the parts of an instance together that runs on a
// platform of its users, and runs them until the instance has left.
//
// It holds no decisions and no names of the platform: what the platform says
// comes through the function fields of Options, as the product's own types.
package composer
