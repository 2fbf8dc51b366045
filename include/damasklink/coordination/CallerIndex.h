// Keeps the directory of callers up to date with the configuration tree that is in force.
#pragma once

#include "damasklink/coordination/ConfigDistributor.h"
#include "damasklink/state/CallerDirectory.h"
#include "damasklink/state/ConfigNarrowing.h"

namespace damasklink {

// Updates the directory incrementally: a change of a workspace replaces only the keys of that
// workspace. A change of the defaults affects every workspace, so it rebuilds the whole directory.
// Not thread-safe; register it as the observer of a ConfigDistributor.
class CallerIndex final : public TreeObserver
{
public:
  void OnSubtreeChanged(const RevisionedTree& aTree,
                        const TreeChange& aChange,
                        const Subtree& aBefore) override;
  void OnTreeReplaced(const RevisionedTree& aTree) override;

  const CallerDirectory& Directory() const { return this->directory; }

private:
  // Kept between changes, so that policies continue to share the lists of the defaults.
  PolicyResolver resolver{ SubtreePolicy() };
  CallerDirectory directory;
};

} // namespace damasklink
