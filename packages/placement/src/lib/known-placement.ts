import { NO_PLACEMENT, type PlacementView, isNewer } from './placement-view.js';

/** The newest placement that a router knows, and whether it knows more than the store's copy. */
export interface KnownPlacement {
  view(): PlacementView;
  /**
   * Applies a view that a leader reported, or that it stored in the present era. Returns whether it
   * is newer than the known one.
   */
  update(view: PlacementView): boolean;
  /**
   * Applies the view of a copy from which the store came back, unless a newer one is known. Returns
   * whether it does.
   */
  updateFromCopy(view: PlacementView): boolean;
  /** Returns the view, unless it is only the copy's or empty. */
  beyondCopy(): PlacementView | undefined;
}

/** Creates an empty one. */
export function createKnownPlacement(): KnownPlacement {
  let current: PlacementView = NO_PLACEMENT;
  let isFromCopy = true;

  return {
    view: () => current,
    update(view) {
      if (isNewer(current, view)) return false;
      isFromCopy = false;
      if (!isNewer(view, current)) return false;
      current = view;
      return true;
    },
    updateFromCopy(view) {
      if (!isNewer(view, current)) return false;
      current = view;
      isFromCopy = true;
      return true;
    },
    beyondCopy: () => (isFromCopy ? undefined : current),
  };
}
