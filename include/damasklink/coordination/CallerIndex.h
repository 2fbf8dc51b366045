// The callers' directory that follows the tree in force, one change at a time.
#pragma once

#include "damasklink/coordination/ConfigDistributor.h"
#include "damasklink/state/CallerDirectory.h"
#include "damasklink/state/ConfigNarrowing.h"

namespace damasklink {

// Rebuilds only what a change touches: the keys of one workspace. New defaults touch every
// workspace, so they rebuild all.
class CallerIndex final : public TreeObserver
{
public:
  void OnSubtreeChanged(const RevisionedTree& aTree,
                        const TreeChange& aChange,
                        const Subtree& aBefore) override;
  void OnTreeReplaced(const RevisionedTree& aTree) override;

  const CallerDirectory& Directory() const { return this->directory; }

private:
  // Kept between changes, so that policies go on sharing the lists of the defaults.
  PolicyResolver resolver{ SubtreePolicy() };
  CallerDirectory directory;
};

} // namespace damasklink
