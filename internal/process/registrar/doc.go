// Package registrar holds which runs of targets may get new requests.
//
// The list of targets comes from the platform; what targets say of themselves
// corrects it. A run that was said to be leaving never returns; only a new start
// does. A run that a list omits is gone at once, unless the list was made right
// after an outage of the platform: then entries of live targets may be missing,
// and the run stays usable for the time in which such entries return.
package registrar
