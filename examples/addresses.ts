/**
 * Returns made-up addresses `10.AVAILABILITY-ZONE.SERVICE.SERVER:8080`, distributed over the
 * availability zones in turn. A real program reads the addresses from the platform's list of
 * instances.
 */
export function addressesOf(
  serviceNumber: number,
  serverCount: number,
  availabilityZoneCount: number,
): string[] {
  return Array.from({ length: serverCount }, (_, index) => {
    const zone = (index % availabilityZoneCount) + 1;
    const serverNumber = Math.floor(index / availabilityZoneCount) + 1;
    return `10.${zone}.${serviceNumber}.${serverNumber}:8080`;
  });
}
