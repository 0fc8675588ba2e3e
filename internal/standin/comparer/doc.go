// Package comparer puts the results of a bench side by side: one row for each
// scene, policy and kind, over all seeds.
package comparer
